#include "crowds/crowd_member.hpp"
#include "crowds/process_usage.hpp"
#include "soak/soak_backends.hpp"
#include "soak/soak_call.hpp"
#include "soak/soak_fleet.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Crowds of clients that keep to no limit, against the processes of a fleet.
// The process that they connect to must neither end nor hang, must stay within
// the memory and the descriptors of its machine, and must respond to an
// ordinary request afterwards. Nothing here depends on how fast the machine is:
// the time limits only end a run that hangs.

namespace hickorygap::test
{

namespace
{

// Memory of the smallest machines that run routers and voters.
constexpr std::size_t router_memory_bytes = std::size_t{160} * 1024 * 1024;
constexpr std::size_t voter_memory_bytes = std::size_t{256} * 1024 * 1024;

// Descriptors of the process, and how many of them clients must leave for
// backend servers, voters and other routers.
constexpr std::size_t descriptors = 256;
constexpr std::size_t reserved_descriptors = 64;

// Longest body that the configuration permits; its default.
constexpr std::size_t legal_body_bytes = std::size_t{4} * 1024 * 1024;

constexpr duration start_timeout = std::chrono::seconds{20};
constexpr duration crowd_timeout = std::chrono::seconds{120};
constexpr duration request_timeout = std::chrono::seconds{10};
constexpr duration request_interval = std::chrono::milliseconds{300};
constexpr int max_tries = 20;

enum class door
{
    callers,
    readiness,
    operators
};

struct crowd
{
    std::string_view name;
    door at = door::callers;
    std::size_t clients = 0;
    crowd_script script;
};

std::string request_head(std::string_view method, std::string_view path)
{
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: h\r\nRequest-Id: c1\r\n"
        "Deadline-Ms: 60000\r\n",
        method, path);
}

std::vector<crowd> make_crowds()
{
    const std::string call = request_head("POST", "/safe/crowd");
    const std::string large_answer = request_head("GET", "/safe/large");
    const std::string file = request_head("PUT", "/config");
    constexpr std::size_t far_too_long = 4 * legal_body_bytes;
    constexpr std::size_t large_chunk = std::size_t{64} * 1024;
    constexpr std::size_t small_chunk = 8;
    constexpr std::size_t small_piece = 1000;
    constexpr int pipelined = 8;
    return {
        {"announced_bodies",
         door::callers,
         60,
         {.head = call, .body_bytes = legal_body_bytes, .missing_bytes = 1}},
        {"large_chunks",
         door::callers,
         60,
         {.head = call,
          .body_bytes = legal_body_bytes,
          .chunk_bytes = large_chunk,
          .missing_bytes = large_chunk}},
        {"small_chunks",
         door::callers,
         60,
         {.head = call,
          .body_bytes = legal_body_bytes,
          .chunk_bytes = small_chunk,
          .missing_bytes = small_chunk}},
        {"announced_too_long",
         door::callers,
         60,
         {.head = call, .body_bytes = far_too_long}},
        {"sent_too_long",
         door::callers,
         60,
         {.head = call,
          .body_bytes = far_too_long,
          .chunk_bytes = large_chunk}},
        {"whole_bodies",
         door::callers,
         60,
         {.head = call,
          .body_bytes = legal_body_bytes,
          .piece_bytes = legal_body_bytes}},
        {"bodies_in_pieces",
         door::callers,
         60,
         {.head = call,
          .body_bytes = legal_body_bytes,
          .piece_bytes = small_piece}},
        {"unread_responses",
         door::callers,
         30,
         {.head = large_answer, .requests = pipelined, .reads = false}},
        {"silent_connections", door::callers, 2 * descriptors, {}},
        {"silent_readiness_checks", door::readiness, 2 * descriptors, {}},
        {"announced_documents",
         door::operators,
         80,
         {.head = file, .body_bytes = legal_body_bytes, .missing_bytes = 1}},
        {"document_chunks",
         door::operators,
         80,
         {.head = file,
          .body_bytes = legal_body_bytes,
          .chunk_bytes = large_chunk,
          .missing_bytes = large_chunk}},
    };
}

std::string configuration_document()
{
    return R"({"version":1,"routes":[
{"name":"s","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":60000,
"target_latency_ms":100,"service":"app","max_attempts":3}],
"services":[{"name":"app","max_connections":500}]})";
}

class crowd_test
{
public:
    crowd_test(
        const std::string& binary, std::string folder,
        const std::string& network)
        : server_list_address_{network + ".30", 8200}
        , fleet_{binary, std::move(folder), network, server_list_address_}
        , backends_{loop_, 1, network}
    {
        backends_.set_faults(false);
    }

    // Returns the number of violations, which are printed.
    int run(const crowd& row)
    {
        if (!loop_.open().ok() || !backends_.open(server_list_address_).ok())
        {
            report("can't listen on the addresses of the backend servers");
            return violations_;
        }
        start_fleet();
        if (!file_configuration() || !responds(door::callers))
        {
            report("the fleet did not start");
            return violations_;
        }
        send(row);
        check_descriptors(row);
        if (!responds(row.at) || !responds(door::callers))
        {
            report("an ordinary request was not served after the crowd");
        }
        check_process(row);
        return violations_;
    }

private:
    void report(const std::string& text)
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

    // Voters have the numbers from zero, followed by the router.
    void start_fleet()
    {
        const descriptor_limit limit{descriptors};
        for (std::size_t i = 0; i <= soak_fleet::voters; ++i)
        {
            fleet_.start(i, true);
        }
    }

    numeric_address address_of(door at) const
    {
        switch (at)
        {
        case door::callers:
            return fleet_.caller_address(0);
        case door::readiness:
            return fleet_.readiness_address(0);
        case door::operators:
            return fleet_.operator_address(0);
        }
        return {};
    }

    static std::string ordinary_request(door at)
    {
        switch (at)
        {
        case door::callers:
            return "POST /safe/ordinary HTTP/1.1\r\nHost: h\r\n"
                   "Request-Id: o1\r\nDeadline-Ms: 10000\r\n"
                   "Content-Length: 5\r\n\r\nhello";
        case door::readiness:
            return "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
        case door::operators:
            return "GET /config HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        return {};
    }

    // Whether a request gets a success, at the first try or, as clients do it,
    // at a later one.
    bool responds(door at)
    {
        return succeeds(address_of(at), ordinary_request(at));
    }

    bool succeeds(const numeric_address& server, const std::string& request)
    {
        for (int i = 0; i < max_tries; ++i)
        {
            bool ended = false;
            bool served = false;
            soak_call::start(
                loop_, server, request.substr(0, request.find(' ')), request,
                request_timeout,
                [&](const call_result& end)
                {
                    ended = true;
                    served = end.status == 200 && end.complete;
                });
            wait(2 * request_timeout, [&] { return ended; });
            if (served)
            {
                return true;
            }
            wait(request_interval, [] { return false; });
        }
        return false;
    }

    // The leader is one of the voters, and the others refer to it.
    bool file_configuration()
    {
        const std::string document = configuration_document();
        const std::string request = fmt::format(
            "PUT /config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "Content-Length: {}\r\n\r\n{}",
            document.size(), document);
        bool acknowledged = false;
        std::function<void(std::size_t)> file = [&](std::size_t voter)
        {
            soak_call::start(
                loop_, fleet_.operator_address(voter), "PUT", request,
                request_timeout,
                [&, voter](const call_result& end)
                {
                    acknowledged = acknowledged || end.status == 200;
                    if (!acknowledged)
                    {
                        loop_.after(
                            request_interval, [&, voter]
                            { file((voter + 1) % soak_fleet::voters); });
                    }
                });
        };
        file(0);
        return wait(start_timeout, [&] { return acknowledged; });
    }

    void send(const crowd& row)
    {
        for (std::size_t i = 0; i < row.clients; ++i)
        {
            members_.push_back(std::make_unique<crowd_member>(
                loop_, address_of(row.at), row.script));
        }
        const bool settled = wait(
            crowd_timeout,
            [this]
            {
                return std::ranges::all_of(
                    members_,
                    [](const auto& each) { return each->is_settled(); });
            });
        if (!settled)
        {
            fmt::print("the crowd has not sent all of its bytes\n");
        }
        // The last bytes, and the responses to them.
        wait(std::chrono::seconds{1}, [] { return false; });
    }

    // The process that the crowd connects to.
    static std::size_t process_of(const crowd& row)
    {
        return row.at == door::operators ? 0 : soak_fleet::voters;
    }

    // While the crowd is connected.
    void check_descriptors(const crowd& row)
    {
        const std::size_t open =
            open_descriptors_of(fleet_.pid(process_of(row)));
        fmt::print("open descriptors {}\n", open);
        if (open + reserved_descriptors > descriptors)
        {
            report(fmt::format(
                "clients left fewer than {} descriptors",
                reserved_descriptors));
        }
    }

    void check_process(const crowd& row)
    {
        const bool is_voter = row.at == door::operators;
        const std::size_t process = process_of(row);
        for (std::size_t i = 0; i <= soak_fleet::voters; ++i)
        {
            if (!fleet_.running(i))
            {
                report(fmt::format("process {} has ended", i));
            }
        }
        if (!fleet_.running(process))
        {
            return;
        }
        const std::size_t memory = peak_memory_of(fleet_.pid(process));
        fmt::print("peak memory {} bytes\n", memory);
        const std::size_t limit =
            is_voter ? voter_memory_bytes : router_memory_bytes;
        if (memory >= limit)
        {
            report(fmt::format("the process took more than {} bytes", limit));
        }
    }

    event_loop loop_;
    numeric_address server_list_address_;
    soak_fleet fleet_;
    soak_backends backends_;
    std::vector<std::unique_ptr<crowd_member>> members_;
    int violations_ = 0;
};

int run_crowd(const std::string& binary, std::string_view name)
{
    const std::vector<crowd> crowds = make_crowds();
    const auto row = std::ranges::find(crowds, name, &crowd::name);
    if (row == crowds.end())
    {
        std::cerr << "no crowd of this name; see make_crowds\n";
        return 2;
    }
    // The clients' own descriptors.
    constexpr std::size_t client_descriptors = 8192;
    const descriptor_limit limit{client_descriptors};
    // The process number keeps runs apart that are started by hand.
    const int run_number = static_cast<int>(::getpid() % 250);
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        fmt::format("hickorygap_crowd_{}", ::getpid());
    std::filesystem::create_directories(folder);
    const int violations =
        crowd_test{
            binary, folder.string(), fmt::format("127.77.{}", run_number)}
            .run(*row);
    if (violations == 0)
    {
        std::filesystem::remove_all(folder);
        return 0;
    }
    fmt::print("logs: {}\n", folder.string());
    return 1;
}

} // namespace

} // namespace hickorygap::test

int main(int argc, char** argv)
{
    constexpr int argument_count = 3;
    if (argc != argument_count)
    {
        std::cerr << "usage: client_crowd BINARY CROWD\n";
        return 2;
    }
    return hickorygap::test::run_crowd(argv[1], argv[2]);
}
