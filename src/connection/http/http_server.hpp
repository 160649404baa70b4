#ifndef HICKORYGAP_CONNECTION_HTTP_HTTP_SERVER_HPP
#define HICKORYGAP_CONNECTION_HTTP_HTTP_SERVER_HPP

#include "common/time.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace hickorygap
{

// Handles requests; `handle` is called on the worker threads.
class http_handler
{
public:
    virtual ~http_handler() = default;

    virtual void handle(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) = 0;
};

struct http_server_options
{
    // IP address and port to listen on; port 0 selects a free port.
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    // Worker threads, each serving one request at a time.
    std::size_t threads = 64;

    // Readable connections that may wait for a worker thread; further ones
    // are refused immediately.
    std::size_t queue_limit = 256;

    // Requests that wait longer for a worker thread are refused.
    duration queue_timeout{std::chrono::seconds{1}};

    std::size_t header_limit_bytes = 16384;

    // Time within which a caller must have sent the whole header block.
    duration header_timeout{std::chrono::seconds{10}};

    duration idle_timeout{std::chrono::seconds{60}};

    // PEM files; TLS is off when the certificate path is empty.
    std::string tls_certificate_file;
    std::string tls_key_file;
};

// HTTP/1.1 server whose idle keep-alive connections occupy no worker thread:
// one thread polls idle connections and queues those that become readable for
// the worker threads.
class http_server
{
public:
    http_server(http_server_options options, http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Binds and starts serving. Fails with error_kind::unreachable when the
    // address can't be bound. Makes the process ignore SIGPIPE, because
    // writing to a connection that the peer has closed must not terminate the
    // process.
    absl::Status start();

    // The bound port.
    std::uint16_t port() const;

    // Closes the listener and the idle connections; requests in flight
    // continue.
    void stop_accepting();

    // Waits until no request is in flight, at most for `limit`. True when all
    // requests have ended.
    bool drain(duration limit);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hickorygap

#endif
