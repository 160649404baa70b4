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

// One attempt of one caller request that needs a backend server.
struct placement_query
{
    request_id request = 0;

    // Counts the attempts of the request from 1.
    std::uint8_t attempt = 1;
    service_id service = 0;
    chat_id chat = 0;
    organisation_id organisation = 0;
    rank request_rank = rank::normal;

    // Tokens that the request is expected to take, prompt and answer.
    std::uint32_t expected_cost = 1;

    // Latest time at which the answer is still of use to the caller.
    time_point deadline;

    // Time since the caller request arrived; more than zero for later
    // attempts. The rank's target counts from the arrival.
    duration waited{0};

    // Backend servers that failed earlier attempts of this request.
    std::vector<backend_server_id> excluded;
    request_fingerprint fingerprint = 0;

    // Asks for a backend server that runs nothing else meanwhile; used to
    // confirm or clear a request that is suspected of crashing servers.
    bool isolated = false;
};

// Permission to send one attempt to one backend server.
struct placement_grant
{
    request_id request = 0;
    std::uint8_t attempt = 1;
    cell_id granting_cell = 0;
    backend_server_id backend_server = 0;

    // True when the directory named the backend server for the chat.
    bool reused = false;
    duration queued{0};
};

// The attempt gets no backend server; nothing has been sent anywhere.
struct placement_refusal
{
    request_id request = 0;
    std::uint8_t attempt = 1;
    wire::refusal_reason reason = wire::refusal_reason::none;

    // When it pays to come back.
    duration retry_after{0};
};

// The attempt waits in the queue; the decision follows.
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

    // Tokens that were in fact used.
    std::uint32_t actual_cost = 0;

    // From arrival at the entry router to the first byte of the answer.
    duration first_byte{0};
    duration total{0};
};

} // namespace hickorygap

#endif
