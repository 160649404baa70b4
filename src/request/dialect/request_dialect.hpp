#ifndef HICKORYGAP_REQUEST_DIALECT_REQUEST_DIALECT_HPP
#define HICKORYGAP_REQUEST_DIALECT_REQUEST_DIALECT_HPP

#include "common/address.hpp"
#include "common/ids.hpp"
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

// A part of a prompt that several requests can have in common.
struct prompt_part
{
    prompt_part_id id = 0;
    std::uint32_t tokens = 0;
};

// The fields of a request of a caller that routing needs.
struct caller_request_info
{
    // Identifier of this attempt, as given by the caller.
    std::string attempt_id;

    // Empty when the caller sent none.
    std::string api_key;

    // How long the caller waits from now on.
    std::optional<duration> caller_timeout;

    // The parts of the prompt in order. The last one belongs to this request or
    // its chat alone.
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;

    // The caller already has the events up to this one.
    std::optional<std::uint64_t> resume_after;

    // Identifier of the attempt that brought the first event of the stream to
    // be resumed; empty when the caller names none.
    std::string resumed_attempt;
};

// The fields that a router adds to the request of the caller for the backend
// server.
struct dispatch_instructions
{
    // The backend server that the request is meant for. Another one that has
    // taken over its address rejects the request.
    std::string backend_server;

    // Empty when the caller has no API key.
    std::string organisation;

    // Time left until the caller's deadline.
    std::optional<duration> time_left;

    // The stream is to be resumed after this event.
    std::optional<std::uint64_t> resume_after;

    // A server from whose cache the prefix of the prompt can be copied.
    std::optional<numeric_address> prefix_source;

    // Priority in the queue of the backend server; lower values first. Without
    // it the default of the server applies.
    std::optional<std::uint32_t> urgency;
};

// Load of a backend server as reported by itself.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    // How long work currently takes on the machine of the server: 100 is
    // normal, 200 is twice as long. It changes many times a second.
    std::uint32_t work_time_percent = 100;
};

// The fields of the head of a response of a backend server.
struct backend_response_info
{
    // The attempt that the response belongs to; empty when it names none.
    std::string attempt_id;

    // The server that responds; empty when the response does not name it. Only
    // responses to health checks do.
    std::string server;

    // The response carries the signature of the server.
    bool sealed = false;

    // The server states that it has not run the request and will not run it.
    bool not_run = false;

    // The request was meant for another backend server.
    bool wrong_server = false;

    // The server is shutting down and accepts no new requests.
    bool leaving = false;

    // The server accepts no requests from this router for this time.
    std::optional<duration> declines_for;

    // The response names a limit of requests, and that limit in requests per
    // second from the whole fleet; nullopt when it can't be read.
    bool names_request_limit = false;
    std::optional<double> request_limit;

    // The response says that the server fails when it has to reject more
    // requests in a second than this; nullopt when the number can't be read.
    bool names_rejections_tolerated = false;
    std::optional<double> rejections_tolerated;

    // The body was modified after the server produced it.
    bool altered = false;

    std::optional<reported_load> load;

    // The server closes connections that are idle for this long.
    std::optional<duration> idle_timeout;
};

// Header fields and formats that callers and backend servers use.
class request_dialect
{
public:
    request_dialect() = default;
    request_dialect(const request_dialect&) = delete;
    request_dialect& operator=(const request_dialect&) = delete;
    virtual ~request_dialect() = default;

    // Error: invalid_request, when a field can't be decoded or the attempt has
    // no identifier.
    virtual absl::StatusOr<caller_request_info>
    decode_request(const Poco::Net::HTTPRequest& request) const = 0;

    // Head of the request to a backend server, including the final empty line.
    // body_size: size of the body that follows, in bytes.
    virtual std::string encode_dispatch(
        const Poco::Net::HTTPRequest& request, std::size_t body_size,
        const dispatch_instructions& instructions) const = 0;

    virtual backend_response_info
    decode_response(const Poco::Net::HTTPResponse& response) const = 0;

    // Header fields by which a response of the router itself names the attempt.
    virtual std::vector<std::pair<std::string, std::string>>
    response_fields(const std::string& attempt_id) const = 0;
};

} // namespace hickorygap

#endif
