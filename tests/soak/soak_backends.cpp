#include "soak/soak_backends.hpp"

#include <fmt/format.h>

#include <utility>

namespace hickorygap::test
{

namespace
{

constexpr int server_count = 4;
constexpr std::uint16_t server_port = 8100;

// Percentages of requests that meet a fault of their server.
constexpr std::uint64_t rejected_percent = 4;
constexpr std::uint64_t broken_percent = 3;
constexpr std::uint64_t silent_percent = 1;

} // namespace

// One connection of a router; carries one request at a time.
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
        const std::uint64_t drawn =
            owner_.faults_ ? random_below(owner_.random_, 100) : 100;
        if (drawn < rejected_percent)
        {
            stream_->write(fmt::format(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {}\r\n"
                "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                id_));
            return;
        }
        ++owner_.runs_[id_];
        breaks_ = drawn < rejected_percent + broken_percent;
        if (drawn >= 100 - silent_percent && owner_.faults_)
        {
            return;
        }
        event_ = static_cast<int>(std::strtol(
            request_.head->get("Last-Event-Id", "0").c_str(), nullptr, 10));
        head_sent_ = false;
        next();
    }

    void next()
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
                    send_whole();
                }
            });
    }

    void send_whole()
    {
        const std::string answer = fmt::format(
            "HTTP/1.1 200 OK\r\nRequest-Id: {0}\r\nReply-Seal: s\r\n"
            "Content-Length: {1}\r\n\r\n{0}",
            id_, id_.size());
        if (breaks_)
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
        if (event_ == stream_events)
        {
            stream_->write("0\r\n\r\n");
            return;
        }
        if (breaks_ && event_ == stream_events / 2)
        {
            close();
            owner_.remove(this);
            return;
        }
        ++event_;
        const std::string text =
            fmt::format("id: {0}\ndata: {0} {1}\n\n", event_, id_);
        stream_->write(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
        next();
    }

    soak_backends& owner_;
    std::unique_ptr<stream_connection> stream_;
    request_reader reader_;
    received_request request_;
    std::string id_;
    timer_id timer_ = 0;
    int event_ = 0;
    bool breaks_ = false;
    bool head_sent_ = false;
};

soak_backends::soak_backends(
    event_loop& loop, std::uint64_t seed, std::string network)
    : loop_{loop}
    , random_{seed}
    , list_{
          loop,
          {},
          [this](
              const received_request& /*request*/,
              const http_responder& respond)
          {
              http_answer answer;
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

absl::Status soak_backends::open(const numeric_address& list)
{
    for (const auto& self : servers_)
    {
        if (absl::Status status = open_port(*self); !status.ok())
        {
            return status;
        }
    }
    return list_.open(list);
}

absl::Status soak_backends::open_port(server& self)
{
    self.port = std::make_unique<listener>(
        loop_,
        [this, &self](const Poco::Net::StreamSocket& socket)
        {
            auto added = std::make_unique<connection>(*this, socket);
            const connection* key = added.get();
            self.connections.emplace(key, std::move(added));
        });
    return self.port->open(self.address);
}

void soak_backends::remove(const connection* ended)
{
    for (const auto& self : servers_)
    {
        auto found = self->connections.extract(ended);
        if (!found.empty())
        {
            loop_.destroy_later(std::move(found.mapped()));
        }
    }
}

void soak_backends::crash(std::size_t server, duration time)
{
    auto& self = *servers_.at(server);
    self.port->close();
    for (auto& [key, item] : self.connections)
    {
        item->close();
        loop_.destroy_later(std::move(item));
    }
    self.connections.clear();
    loop_.after(time, [this, &self] { static_cast<void>(open_port(self)); });
}

int soak_backends::runs(const std::string& id) const
{
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

} // namespace hickorygap::test
