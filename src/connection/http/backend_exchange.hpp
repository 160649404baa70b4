#ifndef HICKORYGAP_CONNECTION_HTTP_BACKEND_EXCHANGE_HPP
#define HICKORYGAP_CONNECTION_HTTP_BACKEND_EXCHANGE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "connection/http/cancellable_socket.hpp"
#include "version/configuration/configuration.hpp"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <istream>
#include <memory>
#include <optional>
#include <string>

namespace hickorygap
{

// HTTP request to a backend server.
struct backend_request
{
    std::string method = "GET";
    std::string path = "/";
    std::string content_type;
    std::string body;

    // Value of the X-Attempt header; the header is omitted when this is empty.
    std::string attempt;
    chat_id chat = 0;
    rank request_rank = rank::normal;

    // Number of events already forwarded to the caller, from which the engine
    // is asked to resume the stream (X-Resume-From).
    std::size_t resume_from = 0;
};

// Status and header fields of a backend server's response.
struct backend_response_head
{
    std::uint16_t status = 0;
    std::string content_type;
    std::string attempt;

    // Index of the first event of a resumed stream (X-Resume-From); absent
    // when the engine doesn't resume and starts from the beginning.
    std::optional<std::size_t> resumed_from;
};

// One HTTP request and its response over a new connection. Connections aren't
// reused: the backend server may close a kept-alive connection just as the
// request is sent, which leaves unknown whether the request ran.
class backend_exchange
{
public:
    enum class read_result
    {
        ok,
        end,
        too_large,
        failed
    };

    // Waiting for the response fails early when `cancelled` returns true.
    explicit backend_exchange(std::function<bool()> cancelled);

    // Waiting for the response fails after this time.
    void set_deadline(time_point deadline);

    // False when the connection could not be established; no byte of the
    // request has been sent then.
    bool connect(const std::string& host, std::uint16_t port, duration timeout);

    // Sends the request and reads the response header. False on failure, in
    // which case the request may have run.
    bool send(const backend_request& outgoing);

    const backend_response_head& response_head() const
    {
        return response_head_;
    }

    // Reads one server-sent event, including the empty line that ends it;
    // too_large when it exceeds `limit` bytes.
    read_result read_event(std::string& event, std::size_t limit);

    // Reads the body to its end; too_large when it exceeds `limit` bytes.
    read_result read_body(std::string& body, std::size_t limit);

    cancellable_socket::failure failure_reason() const
    {
        return socket_->failure_reason();
    }

private:
    bool exchange_heads(const backend_request& outgoing);

    // "host:port" for the Host header.
    std::string authority_;
    Poco::AutoPtr<cancellable_socket> socket_;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    std::istream* stream_ = nullptr;
    backend_response_head response_head_;
};

} // namespace hickorygap

#endif
