#ifndef HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_QUERY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_QUERY_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace hickorygap
{

// Asks for a backend server for one attempt of one caller request.
struct placement_query
{
    request_id request = 0;

    // Number of the attempt, counted from 1.
    std::uint8_t attempt = 1;
    service_id service = 0;
    chat_id chat = 0;
    organisation_id organisation = 0;
    rank request_rank = rank::normal;

    // Expected tokens of prompt and answer together.
    std::uint32_t expected_cost = 1;

    // Time after which the caller no longer needs the answer.
    time_point deadline;

    // Time from the arrival of the caller request to this attempt; more than
    // zero for later attempts, because the latency target of the rank counts
    // from the arrival.
    duration waited{0};

    // Backend servers that failed earlier attempts of this request.
    std::vector<backend_server_id> excluded;
    request_fingerprint fingerprint = 0;

    // Asks for a backend server that runs no other request meanwhile. Used to
    // confirm or clear a request that is suspected of crashing servers.
    bool isolated = false;
};

// Allows sending one attempt to one backend server; counts against the load of
// that server until it is released or its lease expires.
struct placement_grant
{
    request_id request = 0;
    std::uint8_t attempt = 1;
    cell_id granting_cell = 0;
    backend_server_id backend_server = 0;

    // True when the chat directory named this server, so that the chat's
    // context is probably cached there.
    bool reused = false;
    duration queued{0};
};

// The attempt gets no backend server; nothing was sent to any server.
struct placement_refusal
{
    request_id request = 0;
    std::uint8_t attempt = 1;
    wire::refusal_reason reason = wire::refusal_reason::none;

    // Earliest useful time of a retry by the caller, from now.
    duration retry_after{0};
};

// The attempt waits in the queue; its grant or refusal follows later.
struct placement_queued
{
};

using placement_result =
    std::variant<placement_grant, placement_refusal, placement_queued>;

using placement_decision = std::variant<placement_grant, placement_refusal>;

// How a granted attempt ended.
struct attempt_report
{
    request_id request = 0;
    std::uint8_t attempt = 1;
    cell_id granting_cell = 0;
    backend_server_id backend_server = 0;
    service_id service = 0;
    organisation_id organisation = 0;
    rank request_rank = rank::normal;
    request_fingerprint fingerprint = 0;
    wire::attempt_outcome outcome = wire::attempt_outcome::completed;

    // Tokens used, as counted after the attempt; zero when unknown.
    std::uint32_t actual_cost = 0;

    // Time from the arrival at the entry router to the first byte of the
    // answer.
    duration first_byte{0};
    duration total{0};
};

} // namespace hickorygap

#endif
