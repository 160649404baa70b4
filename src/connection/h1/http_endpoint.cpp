#include "connection/h1/http_endpoint.hpp"

#include <fmt/format.h>

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
        schedule_idle_check();
    }

    ~session() override
    {
        owner_.loop_.cancel(idle_timer_);
    }

    void on_input() override
    {
        if (awaiting_response_)
        {
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

    void on_end(connection_end /*end*/) override
    {
        schedule_removal();
    }

private:
    void respond(const http_response& answer)
    {
        if (!awaiting_response_)
        {
            return;
        }
        awaiting_response_ = false;
        connection_->write(encode_response(answer, close_after_response_));
        if (close_after_response_)
        {
            connection_->close_after_output();
            schedule_removal();
        }
        else if (!connection_->input().empty())
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

    void schedule_idle_check()
    {
        idle_timer_ = owner_.loop_.after(
            idle_timeout,
            [this]
            {
                if (!awaiting_response_ &&
                    owner_.loop_.now() - connection_->last_input() >=
                        idle_timeout)
                {
                    connection_->close();
                    schedule_removal();
                    return;
                }
                schedule_idle_check();
            });
    }

    // Pending output is still sent; the session is destroyed afterwards.
    void schedule_removal()
    {
        const duration delay =
            connection_->is_open() ? output_timeout : duration{0};
        owner_.loop_.after(
            delay, [&owner = owner_, id = id_] { owner.remove(id); });
    }

    http_endpoint& owner_;
    std::uint64_t id_;
    std::unique_ptr<stream_connection> connection_;
    request_reader reader_;
    timer_id idle_timer_ = 0;
    bool awaiting_response_ = false;
    bool close_after_response_ = false;
};

http_endpoint::http_endpoint(
    event_loop& loop, const request_limits& limits, handler on_request)
    : loop_{loop}
    , limits_{limits}
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
    const std::uint64_t id = ++last_session_;
    const auto new_session = std::make_shared<session>(*this, id);
    sessions_.emplace(id, new_session);
    new_session->start(socket);
}

void http_endpoint::remove(std::uint64_t id)
{
    sessions_.erase(id);
}

} // namespace hickorygap
