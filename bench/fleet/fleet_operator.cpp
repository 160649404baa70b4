#include "fleet_operator.hpp"

#include "scenarios/runner/http_exchange.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <thread>

namespace hickorygap::bench
{

using std::chrono::milliseconds;
using testing::exchange;
using testing::fleet;
using testing::http_call;
using testing::http_result;
using testing::script_line;
using steady = std::chrono::steady_clock;

namespace
{

// Polls the condition every millisecond until it holds.
void wait_until(const std::string& what, const std::function<bool()>& condition)
{
    constexpr std::chrono::minutes limit{5};
    const auto start = steady::now();
    while (!condition())
    {
        if (steady::now() - start > limit)
        {
            throw std::runtime_error{what + ": not reached within 5 minutes"};
        }
        std::this_thread::sleep_for(milliseconds{1});
    }
}

http_call operator_call(const fleet& all, const std::string& name)
{
    http_call call;
    call.port = all.operator_port(name);
    call.path = "/operator/status";
    call.headers["Authorization"] =
        fmt::format("Bearer {}", fleet::operator_token);
    return call;
}

std::uint64_t version_of(const fleet& all, const std::string& name)
{
    const http_result result = exchange(operator_call(all, name));
    if (result.status != status_ok)
    {
        return 0;
    }
    return Poco::JSON::Parser{}
        .parse(result.body)
        .extract<Poco::JSON::Object::Ptr>()
        ->optValue<Poco::UInt64>("version", 0);
}

bool is_ready(const fleet& all, const std::string& name)
{
    http_call call;
    call.port = all.caller_port(name);
    call.path = "/readyz";
    return exchange(call).status == status_ok;
}

} // namespace

void wait_until_in_force(const fleet& all, std::uint64_t version)
{
    for (const std::string& name : all.instances())
    {
        wait_until(
            fmt::format("version {} on {}", version, name),
            [&] { return version_of(all, name) >= version; });
    }
}

void wait_until_ready(const fleet& all)
{
    for (const std::string& name : all.instances())
    {
        wait_until(name + " ready", [&] { return is_ready(all, name); });
    }
}

std::uint32_t file_ticket(const fleet& all, std::uint64_t number)
{
    script_line line;
    line.words = {std::to_string(number)};
    line.options["weight"] = std::to_string(1 + number % 5);
    http_call call = operator_call(all, "i1");
    call.method = "POST";
    call.path = "/operator/tickets";
    call.body = all.make_ticket(line);
    http_result result;
    constexpr std::uint32_t limit = 1000;
    for (std::uint32_t attempt = 0; attempt < limit; ++attempt)
    {
        result = exchange(call);
        if (result.status == status_ok)
        {
            return attempt;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    throw std::runtime_error{fmt::format(
        "ticket {} not accepted within {} attempts: {}", number, limit,
        result.body)};
}

} // namespace hickorygap::bench
