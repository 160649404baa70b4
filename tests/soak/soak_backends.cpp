#include "soak/soak_backends.hpp"

#include <fmt/format.h>

#include <utility>

namespace hickorygap::test
{

namespace
{

constexpr int server_count = 4;
constexpr std::uint16_t server_port = 8100;

// Percentages of requests that are rejected as not run, answered with a
// truncated response, or never answered.
constexpr std::uint64_t rejected_percent = 4;
constexpr std::uint64_t truncated_percent = 3;
constexpr std::uint64_t unanswered_percent = 1;

// Body of the response to a request whose path ends in /large; the largest that
// routers accept.
constexpr std::size_t large_body_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

// A connection from a router; carries one request at a time.
class soak_backends::connection final : public connection_observer
{
public:
    connection(soak_backends& owner, const Poco::Net::StreamSocket& socket)
        : owner_{owner}
        , stream_{
              std::make_unique<stream_connection>(owner.loop_, socket, *this)}
    {
    }

    ~connection() override
    {
        owner_.loop_.cancel(timer_);
    }

    void on_input() override
    {
        if (reader_.read(stream_->input(), {}) ==
            request_reader::state::complete)
        {
            request_ = reader_.take();
            serve();
        }
    }

    void on_end(connection_end /*end*/) override
    {
        owner_.remove(this);
    }

    void close()
    {
        stream_->close();
    }

private:
    void serve()
    {
        id_ = request_.head->get("Request-Id", "");
        const std::uint64_t random_percent =
            owner_.faults_enabled_ ? random_below(owner_.random_, 100) : 100;
        if (random_percent < rejected_percent)
        {
            stream_->write(fmt::format(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {}\r\n"
                "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                id_));
            return;
        }
        ++owner_.runs_[id_];
        truncates_response_ =
            random_percent < rejected_percent + truncated_percent;
        if (random_percent >= 100 - unanswered_percent &&
            owner_.faults_enabled_)
        {
            return;
        }
        events_sent_ = static_cast<int>(std::strtol(
            request_.head->get("Last-Event-Id", "0").c_str(), nullptr, 10));
        head_sent_ = false;
        schedule_response();
    }

    void schedule_response()
    {
        const duration work =
            std::chrono::milliseconds{5 + random_below(owner_.random_, 30)};
        timer_ = owner_.loop_.after(
            work,
            [this]
            {
                timer_ = 0;
                if (request_.head->getURI().starts_with("/stream/"))
                {
                    send_event();
                }
                else
                {
                    send_response();
                }
            });
    }

    void send_response()
    {
        const bool is_large = request_.head->getURI().ends_with("/large");
        const std::string body =
            is_large ? std::string(large_body_bytes, 'a') : id_;
        const std::string answer = fmt::format(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
            "Content-Length: {}\r\n\r\n{}",
            id_, body.size(), body);
        if (truncates_response_)
        {
            stream_->write(answer.substr(0, answer.size() - 3));
            close();
            owner_.remove(this);
            return;
        }
        stream_->write(answer);
    }

    void send_event()
    {
        if (!std::exchange(head_sent_, true))
        {
            stream_->write(fmt::format(
                "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                id_));
        }
        if (events_sent_ == stream_events)
        {
            stream_->write("0\r\n\r\n");
            return;
        }
        if (truncates_response_ && events_sent_ == stream_events / 2)
        {
            close();
            owner_.remove(this);
            return;
        }
        ++events_sent_;
        const std::string text =
            fmt::format("id: {0}\ndata: {0} {1}\n\n", events_sent_, id_);
        stream_->write(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
        schedule_response();
    }

    soak_backends& owner_;
    std::unique_ptr<stream_connection> stream_;
    request_reader reader_;
    received_request request_;
    std::string id_;
    timer_id timer_ = 0;
    int events_sent_ = 0;
    bool truncates_response_ = false;
    bool head_sent_ = false;
};

soak_backends::soak_backends(
    event_loop& loop, std::uint64_t seed, std::string network)
    : loop_{loop}
    , random_{seed}
    , server_list_{
          loop,
          {},
          [this](
              const received_request& /*request*/,
              const http_responder& respond)
          {
              http_response answer;
              for (std::size_t i = 0; i < servers_.size(); ++i)
              {
                  const numeric_address& address = servers_[i]->address;
                  answer.body += fmt::format(
                      "{}{{\"id\":\"i-{}\",\"service\":\"app\",\"address\":"
                      "\"{}:{}\",\"zone\":\"z\",\"slots\":8,"
                      "\"state\":\"ready\",\"version\":\"v1\"}}",
                      i == 0 ? "{\"instances\":[" : ",", i, address.host,
                      address.port);
              }
              answer.body += "],\"next\":null}";
              respond(answer);
          }}
{
    for (int i = 0; i < server_count; ++i)
    {
        servers_.push_back(std::make_unique<server>());
        servers_.back()->address = {
            fmt::format("{}.{}", network, 31 + i), server_port};
    }
}

soak_backends::~soak_backends() = default;

absl::Status soak_backends::open(const numeric_address& list_address)
{
    for (const auto& backend : servers_)
    {
        if (absl::Status status = open_port(*backend); !status.ok())
        {
            return status;
        }
    }
    return server_list_.open(list_address);
}

absl::Status soak_backends::open_port(server& backend)
{
    backend.port = std::make_unique<listener>(
        loop_,
        [this, &backend](const Poco::Net::StreamSocket& socket)
        {
            auto added = std::make_unique<connection>(*this, socket);
            const connection* key = added.get();
            backend.connections.emplace(key, std::move(added));
        });
    return backend.port->open(backend.address);
}

void soak_backends::remove(const connection* ended)
{
    for (const auto& backend : servers_)
    {
        auto found = backend->connections.extract(ended);
        if (!found.empty())
        {
            loop_.destroy_later(std::move(found.mapped()));
        }
    }
}

void soak_backends::crash(std::size_t server, duration time)
{
    auto& backend = *servers_.at(server);
    backend.port->close();
    for (auto& [key, item] : backend.connections)
    {
        item->close();
        loop_.destroy_later(std::move(item));
    }
    backend.connections.clear();
    loop_.after(
        time, [this, &backend] { static_cast<void>(open_port(backend)); });
}

int soak_backends::runs(const std::string& id) const
{
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

} // namespace hickorygap::test
