#include "common/ids.hpp"
#include "common/random.hpp"
#include "connection/h1/event_splitter.hpp"
#include "soak/soak_backends.hpp"
#include "soak/soak_call.hpp"
#include "soak/soak_fleet.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <optional>

// Runs routers and voters as real processes, injects random faults derived
// from a seed, and checks what callers, operators and backend servers observe:
// - a read of the configuration never returns a version older than the latest
//   one acknowledged before the read was sent;
// - the version acknowledged last can be read back from every voter and is
//   applied by every router at the end;
// - a request on an unsafe route runs at most once, others at most as often as
//   their route allows, and one that was refused as not run has not run;
// - a complete response matches its request, and a complete stream contains
//   each event exactly once and in order;
// - all requests succeed again once fault injection has ended.

namespace hickorygap::test
{

namespace
{

// Longest time that a restarted voter with an empty disk needs to regain its
// vote.
constexpr duration voter_catch_up_time = std::chrono::milliseconds{4500};

// Voters that may be faulty at the same time: the group of five keeps its
// quorum with two of them lost.
constexpr std::size_t max_impaired_voters = 2;

constexpr duration call_timeout = std::chrono::seconds{3};
constexpr duration recovery_timeout = std::chrono::seconds{12};
constexpr int caller_count = 6;

// Requests per router that must all succeed after fault injection has ended.
constexpr int final_requests = 20;

constexpr int safe_route_max_attempts = 3;

struct request_kind
{
    const char* path;
    int max_runs;
};

constexpr std::array<request_kind, 3> request_kinds{
    {{"/once/", 1}, {"/safe/", safe_route_max_attempts}, {"/stream/", 2}}};

std::string configuration_document(configuration_version version)
{
    return fmt::format(
        R"({{"version":{0},"routes":[
{{"name":"o","host":"h","path_prefix":"/once/","kind":"unsafe",
"timeout_ms":2000,"service":"app","max_attempts":2}},
{{"name":"s","host":"h","path_prefix":"/safe/","kind":"safe",
"timeout_ms":2000,"target_latency_ms":100,"service":"app","max_attempts":{1}}},
{{"name":"t","host":"h","path_prefix":"/stream/","kind":"streaming",
"timeout_ms":2500,"service":"app","max_attempts":2,"resumable":true}},
{{"name":"v","host":"h","path_prefix":"/v{0}/","kind":"safe",
"timeout_ms":2000,"service":"app","max_attempts":3}}],
"services":[{{"name":"app","max_connections":500}}]}})",
        version, safe_route_max_attempts);
}

class soak
{
public:
    soak(
        const std::string& binary, std::uint64_t seed, duration time,
        std::string folder, const std::string& network)
        : random_{seed}
        , fault_period_{time}
        , server_list_address_{network + ".30", 8200}
        , fleet_{binary, std::move(folder), network, server_list_address_}
        , backends_{loop_, seed, network}
    {
    }

    // Runs the soak test and prints each violation; returns their number.
    int run()
    {
        if (!loop_.open().ok() || !backends_.open(server_list_address_).ok())
        {
            report_violation(
                "can't listen on the addresses of the backend servers; end the "
                "process that uses them");
            return violations_;
        }
        for (std::size_t i = 0; i < soak_fleet::voters + soak_fleet::routers;
             ++i)
        {
            fleet_.start(i, true);
        }
        put_next_configuration();
        read_repeatedly();
        for (int i = 0; i < caller_count; ++i)
        {
            call_repeatedly();
        }
        wait(recovery_timeout, [this] { return acknowledged_version_ != 0; });
        if (acknowledged_version_ == 0)
        {
            report_violation(
                "no configuration was acknowledged after the start");
        }
        const time_point end = boot_now() + fault_period_;
        inject_fault();
        wait(fault_period_, [end] { return boot_now() >= end; });
        recover();
        check_runs();
        fmt::print(
            "faults {} writes acknowledged {} reads {} requests {} answered "
            "{} violations {}\n",
            faults_, acknowledgements_, reads_, requests_.size(), answered_,
            violations_);
        return violations_;
    }

private:
    struct request
    {
        const request_kind* kind = nullptr;
        bool refused_as_not_run = false;
    };

    void report_violation(const std::string& text)
    {
        ++violations_;
        fmt::print("violation: {}\n", text);
    }

    bool wait(duration limit, const std::function<bool()>& condition)
    {
        const time_point end = boot_now() + limit;
        while (!condition() && boot_now() < end)
        {
            loop_.run_once(std::chrono::milliseconds{10});
        }
        return condition();
    }

    std::uint64_t draw(std::uint64_t below)
    {
        return random_below(random_, below);
    }
    duration draw_ms(std::uint64_t from, std::uint64_t to)
    {
        return std::chrono::milliseconds{from + draw(to - from + 1)};
    }

    // Configuration writes and reads through the operator port.

    void put_next_configuration()
    {
        if (!puts_enabled_)
        {
            return;
        }
        last_put_version_ += 1 + draw(3);
        put_configuration(
            last_put_version_,
            fleet_.operator_address(draw(soak_fleet::voters)), 2);
        loop_.after(draw_ms(100, 700), [this] { put_next_configuration(); });
    }

    void put_configuration(
        configuration_version version, const numeric_address& at, int hops)
    {
        const std::string body = configuration_document(version);
        soak_call::start(
            loop_, at, "PUT",
            fmt::format(
                "PUT /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                "Content-Length: {}\r\n\r\n{}",
                body.size(), body),
            call_timeout,
            [this, version, hops](const call_result& end)
            {
                constexpr int redirect = 307;
                if (end.status == 200)
                {
                    ++acknowledgements_;
                    acknowledged_version_ =
                        std::max(acknowledged_version_, version);
                }
                else if (end.status == redirect && hops > 0)
                {
                    put_configuration(
                        version, address_of(end.location), hops - 1);
                }
            });
    }

    static numeric_address address_of(const std::string& location)
    {
        const std::string start = "http://";
        const std::string rest = location.substr(start.size());
        const auto address = parse_address(rest.substr(0, rest.find('/')));
        return address.ok() ? *address : numeric_address{"127.0.0.1", 1};
    }

    void read_repeatedly()
    {
        read(fleet_.operator_address(draw(soak_fleet::voters)));
        loop_.after(draw_ms(50, 300), [this] { read_repeatedly(); });
    }

    void read(const numeric_address& at)
    {
        const configuration_version acknowledged_before = acknowledged_version_;
        soak_call::start(
            loop_, at, "GET",
            "GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            call_timeout,
            [this, acknowledged_before, at](const call_result& end)
            {
                if (end.status != 200 || !end.complete)
                {
                    return;
                }
                ++reads_;
                const configuration_version version = std::strtoull(
                    end.body.c_str() + std::string{"{\"version\":"}.size(),
                    nullptr, 10);
                last_read_version_ = version;
                if (version < acknowledged_before)
                {
                    report_violation(fmt::format(
                        "{} returned version {} after version {} was "
                        "acknowledged",
                        at.host, version, acknowledged_before));
                }
                else if (end.body != configuration_document(version))
                {
                    report_violation(fmt::format(
                        "version {} was read with a body other than the one "
                        "written",
                        version));
                }
            });
    }

    // Requests through the caller port.

    void call_repeatedly()
    {
        call(
            request_kinds.at(draw(request_kinds.size())),
            draw(soak_fleet::routers),
            [this](const call_result& /*end*/)
            { loop_.after(draw_ms(1, 40), [this] { call_repeatedly(); }); });
    }

    void call(
        const request_kind& kind, std::size_t router,
        soak_call::done_function on_end)
    {
        const std::string id = fmt::format("{:016x}", random_());
        requests_[id].kind = &kind;
        soak_call::start(
            loop_, fleet_.caller_address(router), "POST",
            fmt::format(
                "POST {}x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\n{{}}",
                kind.path, id),
            call_timeout,
            [this, id, on_end = std::move(on_end)](const call_result& end)
            {
                check_answer(id, end);
                on_end(end);
            });
    }

    void check_answer(const std::string& id, const call_result& end)
    {
        request& sent = requests_[id];
        sent.refused_as_not_run =
            end.complete &&
            end.body.find("it has not run") != std::string::npos;
        if (end.status != 200 || !end.complete)
        {
            return;
        }
        ++answered_;
        const bool streamed = std::string{sent.kind->path} == "/stream/";
        if (!streamed && end.body != id)
        {
            report_violation(fmt::format(
                "request {} got the body \"{}\" of another request", id,
                end.body));
        }
        if (streamed)
        {
            check_stream(id, end.body);
        }
    }

    void check_stream(const std::string& id, std::string body)
    {
        event_splitter splitter;
        splitter.add(body);
        int expected = 0;
        while (const auto event = splitter.next())
        {
            ++expected;
            if (event->text !=
                fmt::format("id: {0}\ndata: {0} {1}\n\n", expected, id))
            {
                report_violation(fmt::format(
                    "request {} got \"{}\" as event {}", id, event->text,
                    expected));
            }
        }
        if (expected != soak_backends::stream_events)
        {
            report_violation(fmt::format(
                "request {} got {} events in a complete stream", id, expected));
        }
    }

    void check_runs()
    {
        for (const auto& [id, sent] : requests_)
        {
            const int runs = backends_.runs(id);
            if (runs > sent.kind->max_runs)
            {
                report_violation(fmt::format(
                    "request {} to {} ran {} times", id, sent.kind->path,
                    runs));
            }
            if (sent.refused_as_not_run && runs > 0)
            {
                report_violation(fmt::format(
                    "request {} was refused as not run but ran", id));
            }
        }
    }

    // Fault injection.

    void inject_fault()
    {
        if (!puts_enabled_ || recovering_)
        {
            return;
        }
        ++faults_;
        const std::size_t router =
            soak_fleet::voters + draw(soak_fleet::routers);
        switch (draw(9))
        {
        case 0:
            signal_and_restart(router, SIGKILL, draw_ms(100, 1500));
            break;
        case 1:
            signal_and_restart(router, SIGTERM, std::chrono::seconds{5});
            break;
        case 2:
            pause(router, draw_ms(300, 2500));
            break;
        case 3:
            backends_.crash(draw(backends_.size()), draw_ms(300, 2500));
            break;
        case 4:
            kill_all_voters();
            break;
        case 5:
            fleet_.rotate_seeds();
            for (std::size_t i = 0;
                 i < soak_fleet::voters + soak_fleet::routers; ++i)
            {
                fleet_.signal(i, SIGHUP);
            }
            break;
        default:
            inject_voter_fault(draw(soak_fleet::voters));
            break;
        }
        loop_.after(draw_ms(200, 1800), [this] { inject_fault(); });
    }

    void inject_voter_fault(std::size_t voter)
    {
        const auto impaired = static_cast<std::size_t>(std::ranges::count_if(
            impaired_until_,
            [](const auto& item) { return item.second > boot_now(); }));
        if (impaired >= max_impaired_voters ||
            boot_now() < no_voter_faults_until_ ||
            impaired_until_[voter] > boot_now())
        {
            return;
        }
        const duration time = draw_ms(100, 2500);
        impaired_until_[voter] = boot_now() + time + voter_catch_up_time;
        switch (draw(4))
        {
        case 0:
            fleet_.wipe(voter);
            loop_.after(time, [this, voter] { fleet_.start(voter); });
            break;
        case 1:
            signal_and_restart(voter, SIGKILL, time);
            break;
        case 2:
            signal_and_restart(voter, SIGTERM, time);
            break;
        default:
            pause(voter, time);
            break;
        }
    }

    // Some of the voters may have lost their disk before. No further voter is
    // disturbed until all have caught up, or more than max_impaired_voters
    // disks could be lost at a time.
    void kill_all_voters()
    {
        for (auto& [voter, until] : impaired_until_)
        {
            until = std::max(until, boot_now() + voter_catch_up_time);
        }
        no_voter_faults_until_ = boot_now() + voter_catch_up_time;
        for (std::size_t i = 0; i < soak_fleet::voters; ++i)
        {
            signal_and_restart(i, SIGKILL, draw_ms(100, 400));
        }
    }

    void signal_and_restart(std::size_t process, int number, duration time)
    {
        fleet_.signal(process, SIGCONT);
        fleet_.signal(process, number);
        loop_.after(time, [this, process] { fleet_.start(process); });
    }

    void pause(std::size_t process, duration time)
    {
        fleet_.signal(process, SIGSTOP);
        loop_.after(time, [this, process] { fleet_.signal(process, SIGCONT); });
    }

    // Recovery after fault injection.

    void recover()
    {
        recovering_ = true;
        backends_.set_faults(false);
        // Lets restarts, pauses and requests that are under way finish.
        wait(std::chrono::seconds{6}, [] { return false; });
        puts_enabled_ = false;
        const configuration_version before = acknowledged_version_;
        last_put_version_ += 1;
        const configuration_version last = last_put_version_;
        const bool acknowledged = wait(
            recovery_timeout,
            [this, last]
            {
                if (acknowledged_version_ < last &&
                    boot_now() > next_attempt_at_)
                {
                    next_attempt_at_ =
                        boot_now() + std::chrono::milliseconds{500};
                    put_configuration(
                        last, fleet_.operator_address(draw(soak_fleet::voters)),
                        2);
                }
                return acknowledged_version_ >= last;
            });
        if (!acknowledged)
        {
            report_violation(fmt::format(
                "no configuration is acknowledged after the faults; the last "
                "version acknowledged before is {}",
                before));
        }
        for (std::size_t voter = 0; voter < soak_fleet::voters; ++voter)
        {
            last_read_version_ = 0;
            if (!wait(
                    recovery_timeout,
                    [this, voter, last]
                    {
                        if (boot_now() > next_attempt_at_)
                        {
                            next_attempt_at_ =
                                boot_now() + std::chrono::milliseconds{500};
                            read(fleet_.operator_address(voter));
                        }
                        return last_read_version_ >= last;
                    }))
            {
                report_violation(fmt::format(
                    "voter {} does not return the last version", voter));
            }
        }
        check_routers(last);
    }

    // Checks that every router applies the last version within 2 s and that
    // all requests to it succeed.
    void check_routers(configuration_version last)
    {
        const std::string path = fmt::format("/v{}/", last);
        const request_kind probe{path.c_str(), safe_route_max_attempts};
        wait(std::chrono::seconds{2}, [] { return false; });
        for (std::size_t router = 0; router < soak_fleet::routers; ++router)
        {
            for (int i = 0; i < final_requests; ++i)
            {
                std::optional<call_result> ended;
                call(
                    probe, router,
                    [&ended](const call_result& end) { ended = end; });
                wait(call_timeout * 2, [&ended] { return ended.has_value(); });
                if (!ended || ended->status != 200)
                {
                    report_violation(fmt::format(
                        "router {} answers with status {} to a request for "
                        "version {}",
                        router, ended ? ended->status : 0, last));
                    break;
                }
            }
        }
        // The requests outlive the local probe that they point to.
        for (auto& [id, sent] : requests_)
        {
            if (sent.kind == &probe)
            {
                sent.kind = &request_kinds.at(1);
            }
        }
    }

    random_engine random_;
    duration fault_period_;
    event_loop loop_;
    numeric_address server_list_address_;
    soak_fleet fleet_;
    soak_backends backends_;

    configuration_version last_put_version_ = 0;
    configuration_version acknowledged_version_ = 0;
    configuration_version last_read_version_ = 0;
    std::map<std::string, request> requests_;
    std::map<std::size_t, time_point> impaired_until_;
    time_point no_voter_faults_until_;
    time_point next_attempt_at_;
    bool puts_enabled_ = true;
    bool recovering_ = false;
    int faults_ = 0;
    int acknowledgements_ = 0;
    int reads_ = 0;
    int answered_ = 0;
    int violations_ = 0;
};

} // namespace

} // namespace hickorygap::test

// Usage: fleet_soak BINARY SEED SECONDS. Keeps its folder with settings, data
// folders and logs when there is a violation.
int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: fleet_soak BINARY SEED SECONDS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::uint64_t seed = std::strtoull(argv[2], nullptr, 10);
    const auto seconds = std::strtoll(argv[3], nullptr, 10);
    const std::string folder =
        (std::filesystem::temp_directory_path() /
         fmt::format("hickorygap-soak-{}-{}", seed, ::getpid()))
            .string();
    std::filesystem::create_directories(folder);
    // Derived from the process id, so that concurrent runs on one machine use
    // different loopback addresses.
    const auto process = static_cast<unsigned>(::getpid());
    const std::string network =
        fmt::format("127.{}.{}", 1 + process / 250 % 250, process % 250);
    int violations = 0;
    {
        hickorygap::test::soak run{
            argv[1], seed, std::chrono::seconds{seconds}, folder, network};
        violations = run.run();
    }
    if (violations != 0)
    {
        std::cout << "seed " << seed << ", logs in " << folder << "\n";
        return 1;
    }
    std::filesystem::remove_all(folder);
    return 0;
}
