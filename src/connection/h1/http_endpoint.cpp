#include "connection/h1/http_endpoint.hpp"

#include "common/logging.hpp"
#include "common/text.hpp"

#include <fmt/format.h>

#include <utility>

namespace hickorygap
{

namespace
{

// Connections without input for this long are closed. Clients of these
// endpoints repeat their requests within seconds.
constexpr duration idle_timeout = std::chrono::seconds{30};

// Time within which a client must read the last response on a connection: long
// enough for a large document over a slow link with other traffic.
constexpr duration output_timeout = std::chrono::seconds{10};

// No further request is read while more bytes than this wait for the client, or
// while as many wait to be read.
constexpr std::size_t max_pending_bytes = std::size_t{128} * 1024;

// Seconds after which a request may be sent again for which there was no
// memory.
constexpr const char* retry_after_no_room = "1";

// Interval between log lines about the limit of connections.
constexpr duration limit_log_interval = std::chrono::seconds{1};

} // namespace

std::string encode_response(const http_response& answer, bool close)
{
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        static_cast<int>(answer.status),
        Poco::Net::HTTPResponse::getReasonForStatus(answer.status),
        answer.body.size());
    if (!answer.body.empty())
    {
        text += fmt::format("Content-Type: {}\r\n", answer.content_type);
    }
    for (const auto& [name, value] : answer.fields)
    {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (close)
    {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    text += answer.body;
    return text;
}

// One connection of a client.
class http_endpoint::session final
    : public connection_observer,
      public buffer_holder,
      public std::enable_shared_from_this<session>
{
public:
    session(http_endpoint& owner, std::uint64_t id)
        : owner_{owner}
        , id_{id}
    {
    }

    void start(const Poco::Net::StreamSocket& socket)
    {
        connection_ =
            std::make_unique<stream_connection>(owner_.loop_, socket, *this);
        if (owner_.shared_.buffers != nullptr)
        {
            buffers_.emplace(*owner_.shared_.buffers, *this);
        }
        schedule_idle_check();
    }

    ~session() override
    {
        owner_.loop_.cancel(idle_timer_);
    }

    void on_input() override
    {
        read_request();
        record_buffers();
    }

    void on_drained() override
    {
        record_buffers();
        if (!has_ended_ && !awaiting_response_)
        {
            resume_reading();
        }
    }

    void on_end(connection_end /*end*/) override
    {
        schedule_removal();
    }

    void on_buffers_revoked() override
    {
        const buffer_use use = use_of_buffers();
        reader_.discard();
        release_memory(connection_->input());
        if (use == buffer_use::receiving)
        {
            http_response answer;
            answer.status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
            answer.fields.emplace_back(
                std::string{retry_after_field}, retry_after_no_room);
            connection_->write(encode_response(answer, true));
            connection_->close_after_output();
        }
        else
        {
            connection_->close();
        }
        schedule_removal();
    }

    // Closes the connection to make room for another one.
    void end()
    {
        connection_->close();
        schedule_removal();
    }

    // Whether the connection may be closed for another one.
    bool may_end() const
    {
        return !has_ended_ && !awaiting_response_;
    }

    time_point last_progress() const
    {
        return connection_->last_progress();
    }

private:
    void read_request()
    {
        if (has_ended_)
        {
            connection_->input().clear();
            return;
        }
        if (awaiting_response_ || is_output_full())
        {
            if (connection_->input().size() > max_pending_bytes)
            {
                connection_->set_reading(false);
            }
            return;
        }
        switch (reader_.read(connection_->input(), owner_.limits_))
        {
        case request_reader::state::incomplete:
            if (reader_.take_continue_request())
            {
                connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        case request_reader::state::failed:
        {
            http_response answer;
            answer.status = reader_.failure();
            connection_->write(encode_response(answer, true));
            connection_->close_after_output();
            schedule_removal();
            return;
        }
        case request_reader::state::complete:
            break;
        }
        awaiting_response_ = true;
        received_request request = reader_.take();
        handled_bytes_ = request.body.size();
        close_after_response_ = !keeps_open(*request.head);
        owner_.on_request_(
            std::move(request),
            [weak = weak_from_this()](const http_response& answer)
            {
                if (const auto self = weak.lock())
                {
                    self->respond(answer);
                }
            });
    }

    void respond(const http_response& answer)
    {
        if (!awaiting_response_ || has_ended_)
        {
            return;
        }
        awaiting_response_ = false;
        handled_bytes_ = 0;
        connection_->write(encode_response(answer, close_after_response_));
        record_buffers();
        if (has_ended_)
        {
            return;
        }
        if (close_after_response_)
        {
            connection_->close_after_output();
            schedule_removal();
        }
        else
        {
            resume_reading();
        }
    }

    void resume_reading()
    {
        if (is_output_full())
        {
            return;
        }
        connection_->set_reading(true);
        if (!connection_->input().empty())
        {
            owner_.loop_.defer(
                [weak = weak_from_this()]
                {
                    if (const auto self = weak.lock())
                    {
                        self->on_input();
                    }
                });
        }
    }

    bool is_output_full() const
    {
        return connection_->pending_output() > max_pending_bytes;
    }

    buffer_use use_of_buffers() const
    {
        if (awaiting_response_)
        {
            return buffer_use::handling;
        }
        return connection_->pending_output() > 0 ? buffer_use::sending
                                                 : buffer_use::receiving;
    }

    void record_buffers()
    {
        if (buffers_ && !has_ended_)
        {
            buffers_->set(
                use_of_buffers(),
                connection_->buffered_bytes() + reader_.buffered_bytes() +
                    handled_bytes_,
                last_progress(), owner_.loop_.now());
        }
    }

    // A client that does not read is idle, too.
    void schedule_idle_check()
    {
        idle_timer_ = owner_.loop_.after(
            idle_timeout,
            [this]
            {
                if (!awaiting_response_ &&
                    owner_.loop_.now() - last_progress() >= idle_timeout)
                {
                    end();
                    return;
                }
                schedule_idle_check();
            });
    }

    // Pending output is still sent; the session is destroyed afterwards.
    void schedule_removal()
    {
        if (std::exchange(has_ended_, true))
        {
            return;
        }
        const duration delay =
            connection_->is_open() ? output_timeout : duration{0};
        owner_.loop_.after(
            delay, [&owner = owner_, id = id_] { owner.remove(id); });
    }

    http_endpoint& owner_;
    std::uint64_t id_;
    std::unique_ptr<stream_connection> connection_;
    request_reader reader_;
    std::optional<buffer_budget::share> buffers_;

    // Body of the request that is being handled.
    std::size_t handled_bytes_ = 0;
    timer_id idle_timer_ = 0;
    bool awaiting_response_ = false;
    bool close_after_response_ = false;
    bool has_ended_ = false;
};

http_endpoint::http_endpoint(
    event_loop& loop, const request_limits& limits, handler on_request,
    endpoint_limits shared)
    : loop_{loop}
    , limits_{limits}
    , shared_{shared}
    , on_request_{std::move(on_request)}
    , listener_{loop, [this](const Poco::Net::StreamSocket& socket) {
                    accept(socket);
                }}
{
}

http_endpoint::~http_endpoint() = default;

absl::Status http_endpoint::open(const numeric_address& address)
{
    return listener_.open(address);
}

void http_endpoint::close()
{
    listener_.close();
}

void http_endpoint::accept(const Poco::Net::StreamSocket& socket)
{
    if (sessions_.size() >= shared_.connections && !make_room())
    {
        return;
    }
    const std::uint64_t id = ++last_session_;
    const auto new_session = std::make_shared<session>(*this, id);
    sessions_.emplace(id, new_session);
    new_session->start(socket);
}

// Closes the connection that has made no progress for the longest. False if
// there is none that may be closed.
bool http_endpoint::make_room()
{
    std::shared_ptr<session> oldest;
    for (const auto& [id, each] : sessions_)
    {
        if (each->may_end() &&
            (!oldest || each->last_progress() < oldest->last_progress()))
        {
            oldest = each;
        }
    }
    const time_point now = loop_.now();
    if (!limit_logged_at_ || now - *limit_logged_at_ >= limit_log_interval)
    {
        limit_logged_at_ = now;
        log(log_level::warning, subsystem::http,
            "endpoint_connections_at_limit open={} refused={}",
            sessions_.size(), oldest == nullptr);
    }
    if (!oldest)
    {
        return false;
    }
    oldest->end();
    return true;
}

void http_endpoint::remove(std::uint64_t id)
{
    sessions_.erase(id);
}

} // namespace hickorygap
