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

// Runs routers and voters as real processes, injects faults drawn from a seed,
// and checks what callers, operators and backend servers see:
// - a read of the configuration is never older than what was acknowledged
//   before it was sent;
// - what was acknowledged last is read back and in force at the end;
// - a request that may run once runs once at most, others at most as often as
//   their route allows, and one that was refused as not run has not run;
// - a complete answer belongs to its request, and a stream that is complete has
//   each event once, in order;
// - the fleet serves again once the faults have ended.

namespace hickorygap::test
{

namespace
{

// A voter that was down may take so long to vote again with an empty disk.
constexpr duration catch_up = std::chrono::milliseconds{4500};

// Faults that the group must bear at the same time.
constexpr std::size_t lost_voters = 2;

constexpr duration call_limit = std::chrono::seconds{3};
constexpr duration recovery_limit = std::chrono::seconds{12};
constexpr int callers = 6;

// Requests that follow the end of the faults all succeed.
constexpr int final_requests = 20;

constexpr int safe_attempts = 3;

struct request_kind
{
    const char* path;
    int most_runs;
};

constexpr std::array<request_kind, 3> kinds{
    {{"/once/", 1}, {"/safe/", safe_attempts}, {"/stream/", 2}}};

std::string document(configuration_version version)
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
"services":[{{"name":"app","max_connections":500}}],"tenants":[]}})",
        version, safe_attempts);
}

class soak
{
public:
    soak(
        const std::string& binary, std::uint64_t seed, duration time,
        std::string folder, const std::string& network)
        : random_{seed}
        , time_{time}
        , list_{network + ".30", 8200}
        , fleet_{binary, std::move(folder), network, list_}
        , backends_{loop_, seed, network}
    {
    }

    // Number of broken promises, which are printed.
    int run()
    {
        if (!loop_.open().ok() || !backends_.open(list_).ok())
        {
            fail("the addresses of the backend servers are taken");
            return failures_;
        }
        for (std::size_t i = 0; i < soak_fleet::voters + soak_fleet::routers;
             ++i)
        {
            fleet_.start(i, true);
        }
        file_next();
        read_often();
        for (int i = 0; i < callers; ++i)
        {
            call_often();
        }
        wait(recovery_limit, [this] { return acknowledged_ != 0; });
        if (acknowledged_ == 0)
        {
            fail("nothing was acknowledged after the start");
        }
        const time_point end = boot_now() + time_;
        inject();
        wait(time_, [end] { return boot_now() >= end; });
        recover();
        check_runs();
        fmt::print(
            "faults {} filings acknowledged {} reads {} requests {} answered "
            "{} broken promises {}\n",
            faults_, acknowledgements_, reads_, requests_.size(), answered_,
            failures_);
        return failures_;
    }

private:
    struct request
    {
        const request_kind* kind = nullptr;
        bool refused_as_not_run = false;
    };

    void fail(const std::string& text)
    {
        ++failures_;
        fmt::print("broken: {}\n", text);
    }

    bool wait(duration limit, const std::function<bool()>& condition)
    {
        const time_point end = boot_now() + limit;
        while (!condition() && boot_now() < end)
        {
            loop_.turn(std::chrono::milliseconds{10});
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

    // Operators.

    void file_next()
    {
        if (!filing_)
        {
            return;
        }
        last_filed_ += 1 + draw(3);
        file(last_filed_, fleet_.operators(draw(soak_fleet::voters)), 2);
        loop_.after(draw_ms(100, 700), [this] { file_next(); });
    }

    void
    file(configuration_version version, const numeric_address& at, int hops)
    {
        const std::string body = document(version);
        soak_call::start(
            loop_, at, "PUT",
            fmt::format(
                "PUT /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                "Content-Length: {}\r\n\r\n{}",
                body.size(), body),
            call_limit,
            [this, version, hops](const call_end& end)
            {
                constexpr int redirect = 307;
                if (end.status == 200)
                {
                    ++acknowledgements_;
                    acknowledged_ = std::max(acknowledged_, version);
                }
                else if (end.status == redirect && hops > 0)
                {
                    file(version, address_of(end.location), hops - 1);
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

    void read_often()
    {
        read(fleet_.operators(draw(soak_fleet::voters)));
        loop_.after(draw_ms(50, 300), [this] { read_often(); });
    }

    void read(const numeric_address& at)
    {
        const configuration_version known = acknowledged_;
        soak_call::start(
            loop_, at, "GET",
            "GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            call_limit,
            [this, known, at](const call_end& end)
            {
                if (end.status != 200 || !end.complete)
                {
                    return;
                }
                ++reads_;
                const configuration_version version = std::strtoull(
                    end.body.c_str() + std::string{"{\"version\":"}.size(),
                    nullptr, 10);
                last_read_ = version;
                if (version < known)
                {
                    fail(fmt::format(
                        "{} read version {} after {} was acknowledged", at.host,
                        version, known));
                }
                else if (end.body != document(version))
                {
                    fail(fmt::format("version {} is read changed", version));
                }
            });
    }

    // Callers.

    void call_often()
    {
        call(
            kinds.at(draw(kinds.size())), draw(soak_fleet::routers),
            [this](const call_end& /*end*/)
            { loop_.after(draw_ms(1, 40), [this] { call_often(); }); });
    }

    void call(
        const request_kind& kind, std::size_t router,
        soak_call::done_function on_end)
    {
        const std::string id = fmt::format("{:016x}", random_());
        requests_[id].kind = &kind;
        soak_call::start(
            loop_, fleet_.callers(router), "POST",
            fmt::format(
                "POST {}x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\n{{}}",
                kind.path, id),
            call_limit,
            [this, id, on_end = std::move(on_end)](const call_end& end)
            {
                check_answer(id, end);
                on_end(end);
            });
    }

    void check_answer(const std::string& id, const call_end& end)
    {
        request& asked = requests_[id];
        asked.refused_as_not_run =
            end.complete &&
            end.body.find("it has not run") != std::string::npos;
        if (end.status != 200 || !end.complete)
        {
            return;
        }
        ++answered_;
        const bool streamed = std::string{asked.kind->path} == "/stream/";
        if (!streamed && end.body != id)
        {
            fail(fmt::format("{} got the answer \"{}\"", id, end.body));
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
                fail(fmt::format(
                    "{} got \"{}\" as event {}", id, event->text, expected));
            }
        }
        if (expected != soak_backends::stream_events)
        {
            fail(fmt::format("{} got {} events", id, expected));
        }
    }

    void check_runs()
    {
        for (const auto& [id, asked] : requests_)
        {
            const int runs = backends_.runs(id);
            if (runs > asked.kind->most_runs)
            {
                fail(fmt::format(
                    "{} at {} ran {} times", id, asked.kind->path, runs));
            }
            if (asked.refused_as_not_run && runs > 0)
            {
                fail(fmt::format("{} was refused as not run and ran", id));
            }
        }
    }

    // Faults.

    void inject()
    {
        if (!filing_ || ending_)
        {
            return;
        }
        ++faults_;
        const std::size_t router =
            soak_fleet::voters + draw(soak_fleet::routers);
        switch (draw(9))
        {
        case 0:
            down(router, SIGKILL, draw_ms(100, 1500));
            break;
        case 1:
            down(router, SIGTERM, std::chrono::seconds{5});
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
            hit_voter(draw(soak_fleet::voters));
            break;
        }
        loop_.after(draw_ms(200, 1800), [this] { inject(); });
    }

    void hit_voter(std::size_t voter)
    {
        const auto impaired = static_cast<std::size_t>(std::ranges::count_if(
            impaired_until_,
            [](const auto& item) { return item.second > boot_now(); }));
        if (impaired >= lost_voters || boot_now() < no_losses_until_ ||
            impaired_until_[voter] > boot_now())
        {
            return;
        }
        const duration time = draw_ms(100, 2500);
        impaired_until_[voter] = boot_now() + time + catch_up;
        switch (draw(4))
        {
        case 0:
            fleet_.wipe(voter);
            loop_.after(time, [this, voter] { fleet_.start(voter); });
            break;
        case 1:
            down(voter, SIGKILL, time);
            break;
        case 2:
            down(voter, SIGTERM, time);
            break;
        default:
            pause(voter, time);
            break;
        }
    }

    // Voters with lost disks may be among them; no more are lost before all
    // have caught up.
    void kill_all_voters()
    {
        for (auto& [voter, until] : impaired_until_)
        {
            until = std::max(until, boot_now() + catch_up);
        }
        no_losses_until_ = boot_now() + catch_up;
        for (std::size_t i = 0; i < soak_fleet::voters; ++i)
        {
            down(i, SIGKILL, draw_ms(100, 400));
        }
    }

    void down(std::size_t process, int number, duration time)
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

    // The end of the faults.

    void recover()
    {
        ending_ = true;
        backends_.set_faults(false);
        // What is under way ends first.
        wait(std::chrono::seconds{6}, [] { return false; });
        filing_ = false;
        const configuration_version before = acknowledged_;
        last_filed_ += 1;
        const configuration_version last = last_filed_;
        const bool filed = wait(
            recovery_limit,
            [this, last]
            {
                if (acknowledged_ < last && boot_now() > next_try_)
                {
                    next_try_ = boot_now() + std::chrono::milliseconds{500};
                    file(last, fleet_.operators(draw(soak_fleet::voters)), 2);
                }
                return acknowledged_ >= last;
            });
        if (!filed)
        {
            fail(fmt::format(
                "nothing is acknowledged after the faults; {} was before",
                before));
        }
        for (std::size_t voter = 0; voter < soak_fleet::voters; ++voter)
        {
            last_read_ = 0;
            if (!wait(
                    recovery_limit,
                    [this, voter, last]
                    {
                        if (boot_now() > next_try_)
                        {
                            next_try_ =
                                boot_now() + std::chrono::milliseconds{500};
                            read(fleet_.operators(voter));
                        }
                        return last_read_ >= last;
                    }))
            {
                fail(fmt::format("voter {} does not answer reads", voter));
            }
        }
        check_routers(last);
    }

    // The last version is in force at all routers within the time that
    // operators count on, and all requests succeed.
    void check_routers(configuration_version last)
    {
        const std::string path = fmt::format("/v{}/", last);
        const request_kind probe{path.c_str(), safe_attempts};
        wait(std::chrono::seconds{2}, [] { return false; });
        for (std::size_t router = 0; router < soak_fleet::routers; ++router)
        {
            for (int i = 0; i < final_requests; ++i)
            {
                std::optional<call_end> ended;
                call(
                    probe, router,
                    [&ended](const call_end& end) { ended = end; });
                wait(call_limit * 2, [&ended] { return ended.has_value(); });
                if (!ended || ended->status != 200)
                {
                    fail(fmt::format(
                        "router {} answers {} to a request of version {}",
                        router, ended ? ended->status : 0, last));
                    break;
                }
            }
        }
        // The probe's kind ends with this function.
        for (auto& [id, asked] : requests_)
        {
            if (asked.kind == &probe)
            {
                asked.kind = &kinds.at(1);
            }
        }
    }

    random_engine random_;
    duration time_;
    event_loop loop_;
    numeric_address list_;
    soak_fleet fleet_;
    soak_backends backends_;

    configuration_version last_filed_ = 0;
    configuration_version acknowledged_ = 0;
    configuration_version last_read_ = 0;
    std::map<std::string, request> requests_;
    std::map<std::size_t, time_point> impaired_until_;
    time_point no_losses_until_;
    time_point next_try_;
    bool filing_ = true;
    bool ending_ = false;
    int faults_ = 0;
    int acknowledgements_ = 0;
    int reads_ = 0;
    int answered_ = 0;
    int failures_ = 0;
};

} // namespace

} // namespace hickorygap::test

// Usage: fleet_soak BINARY SEED SECONDS. Keeps its folder with settings, disks
// and logs when a promise is broken.
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
    // Addresses of its own for each run on this machine.
    const auto process = static_cast<unsigned>(::getpid());
    const std::string network =
        fmt::format("127.{}.{}", 1 + process / 250 % 250, process % 250);
    int broken = 0;
    {
        hickorygap::test::soak run{
            argv[1], seed, std::chrono::seconds{seconds}, folder, network};
        broken = run.run();
    }
    if (broken != 0)
    {
        std::cout << "seed " << seed << ", logs in " << folder << "\n";
        return 1;
    }
    std::filesystem::remove_all(folder);
    return 0;
}
