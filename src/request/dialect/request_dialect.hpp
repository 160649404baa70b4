#ifndef HICKORYGAP_REQUEST_DIALECT_REQUEST_DIALECT_HPP
#define HICKORYGAP_REQUEST_DIALECT_REQUEST_DIALECT_HPP

#include "common/address.hpp"
#include "common/time.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap
{

// A part of a prompt that several requests can share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// What a caller asks for, as far as routing needs it.
struct caller_call
{
    // The caller's identifier of this attempt.
    std::string attempt_id;

    // Empty when the caller sent none.
    std::string api_key;

    // How long the caller will wait from now on.
    std::optional<duration> patience;

    // The parts of the prompt in order; the last one belongs to this request
    // or its chat alone.
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;

    // The caller has the events up to this one already.
    std::optional<std::uint64_t> resume_after;
};

// What a router tells a backend server beside the caller's own request.
struct dispatch_instructions
{
    // The backend server for which the request is meant. Another one that has
    // taken over its address refuses the request.
    std::string backend_server;

    // Empty when the caller has no key.
    std::string organisation;

    // Time left until the caller's deadline.
    std::optional<duration> time_left;

    // The stream goes on after this event.
    std::optional<std::uint64_t> resume_after;

    // A server from whose memory the prompt's prefix can be copied.
    std::optional<numeric_address> prefix_source;

    // Order among the requests that wait at the backend server; lower values
    // first. The server's default applies without it.
    std::optional<std::uint32_t> urgency;
};

// Load of a backend server by its own account.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    // How long work takes on the server's machine at that moment: 100 is as
    // usual, 200 twice as long. It changes many times a second.
    std::uint32_t work_time_percent = 100;
};

// What the head of a backend server's response says.
struct backend_answer
{
    // The attempt that the response belongs to; empty when it names none.
    std::string attempt_id;

    // The response bears the server's signature.
    bool sealed = false;

    // The server states that it has not run the request and will not.
    bool not_run = false;

    // The request was meant for another backend server.
    bool wrong_server = false;

    // The server is about to stop and wants no new requests.
    bool leaving = false;

    // The server wants no requests from this router for so long.
    std::optional<duration> declines_for;

    // The body is not in the form in which the server made it.
    bool altered = false;

    std::optional<reported_load> load;

    // The server closes connections that are idle for so long.
    std::optional<duration> idle_timeout;
};

// Names and formats in which callers and backend servers speak.
class request_dialect
{
public:
    request_dialect() = default;
    request_dialect(const request_dialect&) = delete;
    request_dialect& operator=(const request_dialect&) = delete;
    virtual ~request_dialect() = default;

    // Error: invalid_request, when a field can't be read or the attempt has no
    // identifier.
    virtual absl::StatusOr<caller_call>
    decode_call(const Poco::Net::HTTPRequest& request) const = 0;

    // Head of the request to a backend server, with a final empty line.
    // body_size: bytes of the body that follows.
    virtual std::string encode_dispatch(
        const Poco::Net::HTTPRequest& request, std::size_t body_size,
        const dispatch_instructions& instructions) const = 0;

    virtual backend_answer
    decode_answer(const Poco::Net::HTTPResponse& response) const = 0;

    // Header fields that relate an answer of the router's own to the attempt.
    virtual std::vector<std::pair<std::string, std::string>>
    answer_fields(const std::string& attempt_id) const = 0;
};

} // namespace hickorygap

#endif
