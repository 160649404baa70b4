#ifndef HICKORYGAP_CONNECTION_HTTP_RELAYED_REQUEST_HPP
#define HICKORYGAP_CONNECTION_HTTP_RELAYED_REQUEST_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "version/configuration/configuration.hpp"

#include <cstdint>
#include <string>

namespace hickorygap
{

// A valid request of a known caller, ready to be placed.
struct relayed_request
{
    request_id id = 0;

    // Keeps target and caller alive.
    configuration_ptr in_force;
    const service* target = nullptr;
    const organisation* caller = nullptr;
    rank request_rank = rank::normal;
    chat_id chat = 0;
    request_fingerprint fingerprint = 0;

    // Expected tokens of the prompt, and of prompt and answer together.
    std::uint32_t prompt_cost = 0;
    std::uint32_t expected_cost = 1;
    time_point arrival;

    // Latest time to be given a backend server.
    time_point deadline;

    std::string method;
    std::string path;
    std::string content_type;
    std::string body;

    // The answer is a stream of server-sent events.
    bool streamed = false;
    std::string idempotency_key;
};

} // namespace hickorygap

#endif
