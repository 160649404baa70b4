#ifndef HICKORYGAP_CONNECTION_HTTP_RELAYED_REQUEST_HPP
#define HICKORYGAP_CONNECTION_HTTP_RELAYED_REQUEST_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "version/configuration/configuration.hpp"

#include <cstdint>
#include <string>

namespace hickorygap
{

// A validated request of an authenticated caller, ready for placement.
struct relayed_request
{
    request_id id = 0;

    // Owns the objects that target and caller point to.
    configuration_ptr active_configuration;
    const service* target = nullptr;
    const organisation* caller = nullptr;
    rank request_rank = rank::normal;
    chat_id chat = 0;
    request_fingerprint fingerprint = 0;

    // Expected tokens of the prompt, and of prompt and completion together.
    std::uint32_t prompt_cost = 0;
    std::uint32_t expected_cost = 1;
    time_point arrival;

    // Latest time at which a backend server may be assigned.
    time_point deadline;

    std::string method;
    std::string path;
    std::string content_type;
    std::string body;

    // The caller asked for a stream of server-sent events.
    bool streamed = false;
    std::string idempotency_key;
};

} // namespace hickorygap

#endif
