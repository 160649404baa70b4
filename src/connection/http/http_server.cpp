#include "connection/http/http_server.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"
#include "connection/http/accepted_socket.hpp"
#include "connection/http/json_error.hpp"

#include <Poco/Buffer.h>
#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <fmt/format.h>

#include <condition_variable>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPResponse;

// Upper bound on the time until the polling thread notices a stop.
constexpr duration poll_interval = std::chrono::milliseconds{50};

// Up to this many body bytes that the handler left unread are discarded to
// keep the connection reusable. With more left, the connection is closed.
constexpr std::size_t unread_body_limit_bytes = 1U << 20U;

// Time for a peer to read the last response before its connection is closed
// (lingering close). Closing immediately while input is unread would reset the
// connection, and the peer could lose the response.
constexpr duration linger_timeout = std::chrono::seconds{2};

// Interval between checks for connection timeouts.
constexpr duration timeout_check_interval = std::chrono::milliseconds{250};

// Retry-After of requests refused because all worker threads are busy.
constexpr duration retry_after_overload = std::chrono::seconds{1};

constexpr int listen_backlog = 512;

struct connection
{
    Poco::AutoPtr<accepted_socket> socket;

    // When the first byte of an incomplete header block arrived, when the
    // connection became idle, or when the lingering close began.
    time_point state_since;

    // When the connection was queued for a worker thread.
    time_point queued_at;

    // The last response was sent; the connection waits for the peer to close.
    bool lingering = false;
};

using connection_ptr = std::shared_ptr<connection>;

std::string serialize_refusal(const refusal& reason)
{
    const HTTPResponse::HTTPStatus status = http_status_of(reason.kind);
    const std::string body = error_body(reason);
    std::string retry;
    if (reason.retry_after > duration::zero())
    {
        retry = fmt::format(
            "Retry-After: {}\r\n", retry_after_seconds(reason.retry_after));
    }
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n{}"
        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        static_cast<int>(status), HTTPResponse::getReasonForStatus(status),
        retry, body.size(), body);
}

void send_raw(accepted_socket& socket, const std::string& text)
{
    try
    {
        socket.sendBytes(text.data(), static_cast<int>(text.size()), 0);
    }
    catch (const Poco::Exception&)
    {
        // The peer has disconnected, so there is no one to respond to.
    }
}

// Reads and discards the body bytes that the handler left unread. False when
// they exceed unread_body_limit_bytes or don't arrive.
bool discard_unread_body(std::istream& body)
{
    // Poco's chunked streams must not be read past their end.
    if (!body.eof())
    {
        body.clear();
        body.ignore(static_cast<std::streamsize>(unread_body_limit_bytes));
    }
    return body.eof() && !body.bad();
}

// Replaces the fields that Poco has decoded by those that were received.
void restore_fields(Poco::Net::HTTPServerRequest& request)
{
    request.clear();
    for (const auto& [name, value] : accepted_socket::of(request)->head())
    {
        request.add(name, value);
    }
}

// Whether the header defines the length of the body, or the method has no
// body. accepted_socket checks that the definition is unambiguous.
bool has_defined_length(const Poco::Net::HTTPServerRequest& request)
{
    const std::string& method = request.getMethod();
    return request.getChunkedTransferEncoding() || request.hasContentLength() ||
           !(method == "POST" || method == "PUT" || method == "PATCH");
}

} // namespace

class http_server::implementation
{
public:
    implementation(http_server_options options, http_handler& handler)
        : options_(std::move(options))
        , handler_(handler)
        , params_(new Poco::Net::HTTPServerParams)
    {
        params_->setKeepAlive(true);
    }

    ~implementation()
    {
        stop_accepting();
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        connection_queued_.notify_all();
        if (poller_.joinable())
        {
            poller_.join();
        }
        for (std::thread& worker : workers_)
        {
            worker.join();
        }
    }

    absl::Status start()
    {
        std::signal(SIGPIPE, SIG_IGN);
        try
        {
            const Poco::Net::SocketAddress address{
                options_.host, options_.port};
            if (options_.tls_certificate_file.empty())
            {
                listener_ = Poco::Net::ServerSocket{};
            }
            else
            {
                listener_ = make_tls_listener();
            }
            // The third argument disables SO_REUSEPORT, which Poco sets by
            // default and which would let other processes share the port.
            listener_.bind(address, true, false);
            listener_.listen(listen_backlog);
            listener_.setBlocking(false);
            port_ = listener_.address().port();
        }
        catch (const Poco::Exception& error)
        {
            return make_error(
                error_kind::unreachable,
                fmt::format(
                    "can't listen on {}:{}: {}; check that the address is free "
                    "and that the TLS files are readable",
                    options_.host, options_.port, error.displayText()));
        }
        listening_ = true;
        poll_set_.add(listener_, Poco::Net::PollSet::POLL_READ);
        poller_ = std::thread{[this] { poll_connections(); }};
        for (std::size_t i = 0; i < options_.threads; ++i)
        {
            workers_.emplace_back([this] { run_worker(); });
        }
        return absl::OkStatus();
    }

    std::uint16_t port() const
    {
        return port_;
    }

    void stop_accepting()
    {
        std::unique_lock lock{mutex_};
        accepting_ = false;
        // The polling thread closes the listener, because it may be using it.
        if (poller_.joinable())
        {
            state_changed_.wait(lock, [this] { return !listening_; });
        }
    }

    bool drain(duration limit)
    {
        std::unique_lock lock{mutex_};
        return state_changed_.wait_for(
            lock, limit, [this] { return in_flight_ == 0; });
    }

private:
    Poco::Net::SecureServerSocket make_tls_listener() const
    {
        Poco::Net::Context::Params params;
        params.privateKeyFile = options_.tls_key_file;
        params.certificateFile = options_.tls_certificate_file;
        params.verificationMode = Poco::Net::Context::VERIFY_NONE;
        Poco::Net::Context::Ptr context{
            new Poco::Net::Context{Poco::Net::Context::TLS_SERVER_USE, params}};
        context->disableProtocols(
            Poco::Net::Context::PROTO_SSLV3 | Poco::Net::Context::PROTO_TLSV1 |
            Poco::Net::Context::PROTO_TLSV1_1);
        return Poco::Net::SecureServerSocket{context};
    }

    void poll_connections()
    {
        while (true)
        {
            // Polling an empty set returns immediately. The sleep keeps this
            // thread from spinning after the listener has closed.
            if (poll_set_.empty())
            {
                std::this_thread::sleep_for(poll_interval);
            }
            const auto ready =
                poll_set_.poll(Poco::Timespan{poll_interval.count()});
            bool accept_more = false;
            {
                const std::lock_guard lock{mutex_};
                for (const auto& [socket, mode] : ready)
                {
                    if (listening_ && socket == listener_)
                    {
                        accept_more = true;
                    }
                    else
                    {
                        dispatch(socket);
                    }
                }
                close_expired(boot_now());
                if (!accepting_ && !listening_)
                {
                    close_idle();
                }
                if (stopping_)
                {
                    return;
                }
            }
            if (listening_ && !is_accepting())
            {
                accept_remaining_and_close();
            }
            else if (accept_more)
            {
                accept_connections();
            }
        }
    }

    // False when no connection is waiting to be accepted.
    bool accept_connections()
    {
        constexpr int accepts_per_round = 64;
        for (int i = 0; i < accepts_per_round; ++i)
        {
            try
            {
                if (!listener_.poll(
                        Poco::Timespan{}, Poco::Net::Socket::SELECT_READ))
                {
                    return false;
                }
                Poco::Net::StreamSocket socket = listener_.acceptConnection();
                socket.setNoDelay(true);
                socket.setSendTimeout(
                    Poco::Timespan{options_.idle_timeout.count()});
                auto accepted = std::make_shared<connection>();
                accepted->socket = new accepted_socket{socket};
                accepted->state_since = boot_now();
                const std::lock_guard lock{mutex_};
                start_polling(accepted);
            }
            catch (const Poco::Exception& error)
            {
                log(log_level::warning, subsystem::http,
                    "accept_failed error=\"{}\"", error.displayText());
                // The listener stays readable, for example while the process
                // is out of file descriptors. The sleep avoids spinning.
                std::this_thread::sleep_for(poll_interval);
                return false;
            }
        }
        return true;
    }

    // Accepts all waiting connections and queues every request that has begun
    // to arrive before the listener closes, so that these requests are
    // answered.
    void accept_remaining_and_close()
    {
        while (accept_connections())
        {
        }
        const std::lock_guard lock{mutex_};
        std::vector<Poco::Net::Socket> readable;
        for (const auto& [socket, polled] : polled_)
        {
            if (has_request_input(*polled))
            {
                readable.push_back(socket);
            }
        }
        for (const Poco::Net::Socket& socket : readable)
        {
            dispatch(socket);
        }
        close_listener();
    }

    // The following functions require mutex_ to be held.

    // Whether any byte of a request has arrived.
    static bool has_request_input(connection& polled)
    {
        return polled.socket->has_buffered_input() ||
               polled.socket->inner().poll(
                   Poco::Timespan{}, Poco::Net::Socket::SELECT_READ);
    }

    void start_polling(const connection_ptr& polled)
    {
        const Poco::Net::Socket& socket = polled->socket->inner();
        polled_.emplace(socket, polled);
        poll_set_.add(socket, Poco::Net::PollSet::POLL_READ);
    }

    void stop_polling(const Poco::Net::Socket& socket)
    {
        poll_set_.remove(socket);
        polled_.erase(socket);
    }

    void dispatch(const Poco::Net::Socket& socket)
    {
        const auto found = polled_.find(socket);
        if (found == polled_.end())
        {
            return;
        }
        const connection_ptr readable = found->second;
        if (readable->lingering)
        {
            if (readable->socket->discard_available())
            {
                stop_polling(socket);
            }
            return;
        }
        stop_polling(socket);
        if (queue_.size() < options_.queue_limit)
        {
            enqueue(readable);
        }
        else
        {
            refuse_overloaded(readable);
        }
    }

    void refuse_overloaded(const connection_ptr& refused)
    {
        if (refused->socket->secure())
        {
            // A response might require a TLS handshake first, for which the
            // polling thread must not wait, so the connection is closed
            // without one.
            return;
        }
        refuse_and_linger(
            *refused, {error_kind::overloaded,
                       "this instance serves as many requests as it can; "
                       "retry after the stated time or through another "
                       "instance",
                       true, retry_after_overload});
        start_polling(refused);
    }

    void refuse_timed_out_in_queue(time_point now)
    {
        while (!queue_.empty() &&
               now - queue_.front()->queued_at >= options_.queue_timeout)
        {
            const connection_ptr timed_out = queue_.front();
            queue_.pop_front();
            --in_flight_;
            refuse_overloaded(timed_out);
            state_changed_.notify_all();
        }
    }

    void enqueue(const connection_ptr& readable)
    {
        ++in_flight_;
        readable->queued_at = boot_now();
        queue_.push_back(readable);
        connection_queued_.notify_one();
    }

    void close_expired(time_point now)
    {
        if (now - last_timeout_check_ < timeout_check_interval)
        {
            return;
        }
        last_timeout_check_ = now;
        refuse_timed_out_in_queue(now);
        for (auto entry = polled_.begin(); entry != polled_.end();)
        {
            connection& polled = *entry->second;
            const bool in_header = polled.socket->has_buffered_input();
            const duration limit = polled.lingering ? linger_timeout
                                   : in_header      ? options_.header_timeout
                                                    : options_.idle_timeout;
            if (now - polled.state_since < limit)
            {
                ++entry;
                continue;
            }
            if (in_header && !polled.lingering)
            {
                send_raw(
                    *polled.socket,
                    serialize_refusal(
                        {error_kind::request_timeout,
                         "the header block came too slowly; send it at once",
                         true,
                         {}}));
            }
            poll_set_.remove(entry->first);
            entry = polled_.erase(entry);
        }
    }

    void close_listener()
    {
        if (listening_)
        {
            poll_set_.remove(listener_);
            listener_.close();
            listening_ = false;
            state_changed_.notify_all();
        }
    }

    // Closes connections on which no request has begun to arrive. The others
    // stay open, so that their requests are answered.
    void close_idle()
    {
        for (auto entry = polled_.begin(); entry != polled_.end();)
        {
            connection& polled = *entry->second;
            if (polled.lingering || has_request_input(polled))
            {
                ++entry;
                continue;
            }
            poll_set_.remove(entry->first);
            entry = polled_.erase(entry);
        }
    }

    // The following functions run on worker threads without mutex_ held.

    void run_worker()
    {
        while (true)
        {
            connection_ptr next;
            {
                std::unique_lock lock{mutex_};
                connection_queued_.wait(
                    lock, [this] { return stopping_ || !queue_.empty(); });
                if (queue_.empty())
                {
                    return;
                }
                next = std::move(queue_.front());
                queue_.pop_front();
            }
            serve_connection(next);
        }
    }

    void serve_connection(const connection_ptr& served)
    {
        const bool had_input = served->socket->has_buffered_input();
        auto state =
            served->socket->read_available(options_.header_limit_bytes);
        bool keep_open = state != accepted_socket::read_result::closed;
        bool requeue = false;
        if (state == accepted_socket::read_result::too_large)
        {
            refuse_and_linger(
                *served, {error_kind::payload_too_large,
                          "the header block is over the limit; send fewer or "
                          "shorter fields",
                          true,
                          {}});
        }
        else if (state == accepted_socket::read_result::header_complete)
        {
            if (serve_request(*served->socket))
            {
                served->state_since = boot_now();
                state =
                    served->socket->read_available(options_.header_limit_bytes);
                keep_open = state != accepted_socket::read_result::closed;
                requeue = state != accepted_socket::read_result::incomplete;
            }
            else
            {
                linger(*served);
            }
        }
        else if (!had_input && served->socket->has_buffered_input())
        {
            served->state_since = boot_now();
        }
        return_connection(served, keep_open, requeue);
    }

    void return_connection(
        const connection_ptr& served, bool keep_open, bool requeue)
    {
        const std::lock_guard lock{mutex_};
        --in_flight_;
        if (keep_open && requeue)
        {
            enqueue(served);
        }
        else if (keep_open)
        {
            start_polling(served);
        }
        state_changed_.notify_all();
    }

    static void linger(connection& ended)
    {
        ended.socket->shutdown_send();
        ended.lingering = true;
        ended.state_since = boot_now();
    }

    static void refuse_and_linger(connection& refused, const refusal& reason)
    {
        send_raw(*refused.socket, serialize_refusal(reason));
        linger(refused);
    }

    // True when the connection can be reused for another request.
    bool serve_request(accepted_socket& socket)
    {
        socket.set_read_deadline({duration::max()});
        socket.duplicate();
        Poco::Net::HTTPServerSession session{
            Poco::Net::StreamSocket{&socket}, params_};
        const bool reusable = serve_in_session(socket, session);
        Poco::Buffer<char> rest{0};
        session.drainBuffer(rest);
        socket.return_unconsumed(rest.begin(), rest.size());
        // The session's destructor would close the socket.
        session.detachSocket();
        return reusable;
    }

    bool serve_in_session(
        accepted_socket& socket, Poco::Net::HTTPServerSession& session)
    {
        const bool framing_valid = socket.start_request();
        Poco::Net::HTTPServerResponseImpl response{session};
        std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
        try
        {
            request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(
                response, session, params_.get());
        }
        catch (const Poco::Exception&)
        {
            send_raw(
                socket, serialize_refusal(
                            {error_kind::invalid_request,
                             "the request is no valid HTTP/1.1; check its "
                             "request line and header fields",
                             true,
                             {}}));
            return false;
        }
        try
        {
            return serve_parsed(*request, response, framing_valid);
        }
        catch (const std::exception& error)
        {
            // Includes Poco::Exception; usually the caller has disconnected.
            log(log_level::warning, subsystem::http,
                "request_failed error=\"{}\"", error.what());
            return false;
        }
    }

    bool serve_parsed(
        Poco::Net::HTTPServerRequestImpl& request,
        Poco::Net::HTTPServerResponseImpl& response, bool framing_valid)
    {
        if (!framing_valid || !has_defined_length(request))
        {
            response.setKeepAlive(false);
            send_refusal(
                response, {error_kind::invalid_request,
                           "the body has no single length; send either "
                           "Content-Length or chunked encoding",
                           true,
                           {}});
            return false;
        }
        restore_fields(request);
        response.setVersion(request.getVersion());
        // After a refusal, a caller that sent "Expect: 100-continue" may send
        // its body or the next request. The two can't be distinguished, so the
        // connection is only kept alive if the body was read.
        response.setKeepAlive(
            request.getKeepAlive() && is_accepting() &&
            !request.getExpectContinue());
        handler_.handle(request, response);
        return finish_exchange(request, response);
    }

    bool finish_exchange(
        Poco::Net::HTTPServerRequestImpl& request,
        Poco::Net::HTTPServerResponseImpl& response)
    {
        if (!response.sent() || !response.getKeepAlive())
        {
            // No response was sent when the caller has disconnected.
            return false;
        }
        auto* socket = accepted_socket::of(request);
        socket->set_read_deadline(boot_now() + linger_timeout);
        return discard_unread_body(request.stream()) &&
               socket->is_request_consumed();
    }

    bool is_accepting()
    {
        const std::lock_guard lock{mutex_};
        return accepting_;
    }

    const http_server_options options_;
    http_handler& handler_;
    Poco::Net::HTTPServerParams::Ptr params_;
    Poco::Net::ServerSocket listener_;
    std::uint16_t port_ = 0;
    Poco::Net::PollSet poll_set_;
    std::thread poller_;
    std::vector<std::thread> workers_;

    std::mutex mutex_;
    std::condition_variable connection_queued_;
    std::condition_variable state_changed_;
    std::map<Poco::Net::Socket, connection_ptr> polled_;
    std::deque<connection_ptr> queue_;
    time_point last_timeout_check_;

    // Connections queued for a worker thread or served by one.
    std::size_t in_flight_ = 0;
    bool listening_ = false;
    bool accepting_ = true;
    bool stopping_ = false;
};

http_server::http_server(http_server_options options, http_handler& handler)
    : implementation_(
          std::make_unique<implementation>(std::move(options), handler))
{
}

http_server::~http_server() = default;

absl::Status http_server::start()
{
    return implementation_->start();
}

std::uint16_t http_server::port() const
{
    return implementation_->port();
}

void http_server::stop_accepting()
{
    implementation_->stop_accepting();
}

bool http_server::drain(duration limit)
{
    return implementation_->drain(limit);
}

} // namespace hickorygap
