#ifndef HICKORYGAP_CONNECTION_H1_HTTP_ENDPOINT_HPP
#define HICKORYGAP_CONNECTION_H1_HTTP_ENDPOINT_HPP

#include "connection/event/buffer_budget.hpp"
#include "connection/event/listener.hpp"
#include "connection/event/stream_connection.hpp"
#include "connection/h1/request_reader.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap
{

// Complete response to a small request.
struct http_response
{
    Poco::Net::HTTPResponse::HTTPStatus status =
        Poco::Net::HTTPResponse::HTTP_OK;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string content_type = "application/json";
    std::string body;
};

// Encodes a response as HTTP/1.1; `close` adds "Connection: close".
std::string encode_response(const http_response& answer, bool close);

// Sends the response to one request; does nothing when the client has
// disconnected.
using http_responder = std::function<void(const http_response&)>;

// What the clients of an endpoint may take.
struct endpoint_limits
{
    // Open connections; further ones end the one that has made no progress for
    // the longest.
    std::size_t connections = std::numeric_limits<std::size_t>::max();

    // Memory for requests and responses; nullptr for no limit over all
    // connections. Must outlive the endpoint.
    buffer_budget* buffers = nullptr;
};

// HTTP server that buffers complete requests and responses, for readiness,
// metrics and operator requests. Not for callers' traffic.
class http_endpoint
{
public:
    using handler = std::function<void(received_request, http_responder)>;

    http_endpoint(
        event_loop& loop, const request_limits& limits, handler on_request,
        endpoint_limits shared = {});
    ~http_endpoint();

    // Errors: unreachable when the address can't be bound.
    absl::Status open(const numeric_address& address);
    void close();

private:
    class session;

    void accept(const Poco::Net::StreamSocket& socket);
    bool make_room();
    void remove(std::uint64_t id);

    event_loop& loop_;
    request_limits limits_;
    endpoint_limits shared_;
    handler on_request_;
    listener listener_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<session>> sessions_;
    std::uint64_t last_session_ = 0;
    std::optional<time_point> limit_logged_at_;
};

} // namespace hickorygap

#endif
