#ifndef HICKORYGAP_CONNECTION_HTTP_BACKEND_EXCHANGE_HPP
#define HICKORYGAP_CONNECTION_HTTP_BACKEND_EXCHANGE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "connection/http/watched_socket.hpp"
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

// What is sent to a backend server.
struct backend_call
{
    std::string method = "GET";
    std::string path = "/";
    std::string content_type;
    std::string body;

    // Value of X-Attempt; left out when empty.
    std::string attempt;
    chat_id chat = 0;
    rank request_rank = rank::normal;

    // Number of events that the caller has; asks the engine to go on there.
    std::size_t resume_from = 0;
};

// Head of a backend server's answer.
struct backend_answer
{
    std::uint16_t status = 0;
    std::string content_type;
    std::string attempt;

    // Event that a continued stream starts with; absent when the engine
    // doesn't resume and starts from the beginning.
    std::optional<std::size_t> resumed_from;
};

// One HTTP exchange over a connection of its own. Connections aren't reused:
// a reused one may be closed by the backend server just when the request is
// sent, and then it is unknown whether the request ran.
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

    // Waiting for the answer ends early when `cancelled` returns true.
    explicit backend_exchange(std::function<bool()> cancelled);

    // Ends waiting for the answer at this time.
    void set_deadline(time_point deadline);

    // False when no connection could be made; no byte has been sent then.
    bool connect(const std::string& host, std::uint16_t port, duration timeout);

    // Sends the call and reads the head of the answer. False on failure; the
    // call may have run.
    bool send(const backend_call& call);

    const backend_answer& answer() const
    {
        return answer_;
    }

    // Reads one server-sent event with its empty line at the end.
    read_result read_event(std::string& event, std::size_t limit);

    // Reads the whole body.
    read_result read_body(std::string& body, std::size_t limit);

    watched_socket::failure why_failed() const
    {
        return socket_->why_failed();
    }

private:
    bool exchange_heads(const backend_call& call);

    // "host:port" for the Host header.
    std::string authority_;
    Poco::AutoPtr<watched_socket> socket_;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    std::istream* stream_ = nullptr;
    backend_answer answer_;
};

} // namespace hickorygap

#endif
