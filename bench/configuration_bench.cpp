// Measures the time to parse and build configurations of the target size, 3,300
// organisations and 800 backend servers, and to replay 5,000 tickets.
#include "version/configuration/configuration_builder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace
{

using namespace hickorygap;

constexpr int organisation_count = 3300;
constexpr int backend_server_count = 800;
constexpr int service_count = 8;
constexpr int replayed_ticket_count = 5000;
constexpr int rebuild_count = 200;

std::string organisation_json(int number, double weight)
{
    return fmt::format(
        R"("org-{0}":{{"api_key_digests":["{1}"],"highest_rank":"urgent",)"
        R"("weight":{2}}})",
        number, to_hex(sha256(std::string_view{fmt::format("key{}", number)})),
        weight);
}

std::string backend_server_json(int number, const char* state)
{
    return fmt::format(
        R"("eng-{0}":{{"address":"10.0.{1}.{2}:9000","service":"s-{3}",)"
        R"("failure_domain":"d-{4}","slots":8,"state":"{5}"}})",
        number, number / 250, number % 250 + 1, number % service_count,
        number % 5, state);
}

std::string initial_ticket()
{
    std::vector<std::string> services;
    std::vector<std::string> servers;
    std::vector<std::string> organisations;
    services.reserve(service_count);
    servers.reserve(backend_server_count);
    organisations.reserve(organisation_count);
    for (int i = 0; i < service_count; ++i)
    {
        services.push_back(
            fmt::format(R"("s-{0}":{{"kind":"engine","model":"m-{0}"}})", i));
    }
    for (int i = 0; i < backend_server_count; ++i)
    {
        servers.push_back(backend_server_json(i, "serving"));
    }
    for (int i = 0; i < organisation_count; ++i)
    {
        organisations.push_back(organisation_json(i, 1));
    }
    return fmt::format(
        R"({{"ticket":1,"services":{{{}}},"backend_servers":{{{}}},)"
        R"("organisations":{{{}}},"voters":[1,2,3]}})",
        fmt::join(services, ","), fmt::join(servers, ","),
        fmt::join(organisations, ","));
}

// A ticket that changes one backend server and one organisation.
std::string small_ticket(int number)
{
    return fmt::format(
        R"({{"ticket":{},"backend_servers":{{{}}},"organisations":{{{}}}}})",
        number,
        backend_server_json(
            number % backend_server_count,
            number % 2 == 0 ? "leaving" : "serving"),
        organisation_json(number % organisation_count, 1 + number % 7));
}

template <typename Work>
double elapsed_ms(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>{
        std::chrono::steady_clock::now() - start}
        .count();
}

void print_quantiles(const char* name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    fmt::print(
        "{:<44} median {:8.3f} ms  99% {:8.3f} ms  max {:8.3f} ms\n", name,
        values[values.size() / 2], values[values.size() * 99 / 100],
        values.back());
}

template <typename Value>
Value value_or_exit(absl::StatusOr<Value> value)
{
    if (!value.ok())
    {
        fmt::print(
            stderr, "configuration_bench: invalid generated ticket: {}\n",
            std::string{value.status().message()});
        std::exit(1);
    }
    return *std::move(value);
}

} // namespace

int main()
{
    const std::string initial = initial_ticket();
    ticket first;
    configuration_ptr base;
    fmt::print(
        "{} organisations, {} backend servers, initial ticket {} bytes\n",
        organisation_count, backend_server_count, initial.size());
    const double parse_ms =
        elapsed_ms([&] { first = value_or_exit(parse_ticket(initial)); });
    fmt::print("{:<44} {:8.3f} ms\n", "parse the initial ticket", parse_ms);
    const double build_ms = elapsed_ms(
        [&] {
            base = value_or_exit(configuration_builder{}.apply(first).build());
        });
    fmt::print("{:<44} {:8.3f} ms\n", "build it", build_ms);

    std::vector<double> parses;
    std::vector<double> builds;
    std::vector<double> checks;
    for (int i = 0; i < rebuild_count; ++i)
    {
        const std::string text = small_ticket(i + 2);
        ticket change;
        parses.push_back(
            elapsed_ms([&] { change = value_or_exit(parse_ticket(text)); }));
        builds.push_back(elapsed_ms(
            [&] {
                value_or_exit(
                    configuration_builder{base}.apply(change).build());
            }));
        checks.push_back(
            elapsed_ms([&] { value_or_exit(check_ticket(text, base)); }));
    }
    print_quantiles("parse a small ticket", parses);
    print_quantiles("rebuild for a small ticket", builds);
    print_quantiles("ticket_check of a small ticket", checks);

    std::vector<std::string> texts{initial};
    texts.reserve(replayed_ticket_count);
    for (int i = 2; i <= replayed_ticket_count; ++i)
    {
        texts.push_back(small_ticket(i));
    }
    const double replay_ms = elapsed_ms(
        [&]
        {
            configuration_builder builder;
            for (const std::string& text : texts)
            {
                builder.apply(value_or_exit(parse_ticket(text)));
            }
            base = value_or_exit(builder.build());
        });
    fmt::print(
        "replay of {} tickets, parsing included {:>14.3f} ms (version {})\n",
        replayed_ticket_count, replay_ms, base->version());
    return 0;
}
