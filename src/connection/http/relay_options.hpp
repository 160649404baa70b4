#ifndef HICKORYGAP_CONNECTION_HTTP_RELAY_OPTIONS_HPP
#define HICKORYGAP_CONNECTION_HTTP_RELAY_OPTIONS_HPP

#include "common/time.hpp"
#include "request/attempt/retry_budget.hpp"

#include <cstddef>
#include <cstdint>

namespace hickorygap
{

struct relay_options
{
    // Time for a backend server to accept a connection.
    duration connect_timeout{std::chrono::seconds{1}};

    // Longest time from sending to the head of the answer.
    duration answer_timeout{std::chrono::minutes{2}};

    // Longest pause between two events of a stream.
    duration event_timeout{std::chrono::seconds{30}};

    // Most attempts of one request, continuations of its stream included.
    std::uint8_t attempt_limit = 4;

    std::size_t response_limit = std::size_t{8} << 20U;
    std::size_t event_limit = std::size_t{1} << 20U;

    // Limit for the answer of a non-repeatable call. The answer is kept in
    // the voters' log, whose frames hold at most 1 MiB.
    std::size_t call_response_limit = std::size_t{64} << 10U;

    // Time for a request to learn that its backend server has died.
    duration health_timeout{std::chrono::milliseconds{500}};

    retry_budget_options retries;
};

} // namespace hickorygap

#endif
