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

// Serves one request on a traffic thread.
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
    // IP number and port to listen on; port 0 lets the system choose.
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    // Requests served at once; further connections wait for a thread.
    std::size_t threads = 64;

    // Connections with a request that wait for a thread; further ones are
    // refused at once.
    std::size_t queue_limit = 256;

    // Longest wait for a thread; a request that waits longer is refused.
    duration queue_timeout{std::chrono::seconds{1}};

    // Limit for a header block, in bytes.
    std::size_t header_limit = 16384;

    // Time for a caller to send its whole header block.
    duration header_timeout{std::chrono::seconds{10}};

    // Time after which an idle connection is closed.
    duration idle_timeout{std::chrono::seconds{60}};

    // PEM files; TLS is off when the certificate is empty.
    std::string tls_certificate_file;
    std::string tls_key_file;
};

// HTTP/1.1 server whose idle keep-alive connections occupy no thread: one
// thread polls idle connections and hands those that become readable to the
// traffic threads.
class http_server
{
public:
    http_server(http_server_options options, http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Binds and starts to serve; error_kind::unreachable when the address
    // can't be bound. Makes the process ignore SIGPIPE, because a peer that
    // leaves while it is written to must not end the process.
    absl::Status start();

    // The bound port.
    std::uint16_t port() const;

    // Closes the listener and the idle connections; requests in flight go on.
    void stop_accepting();

    // Waits until no request is in flight, at most for the limit. True when
    // all ended.
    bool drain(duration limit);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hickorygap

#endif
