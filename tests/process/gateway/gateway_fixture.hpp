#ifndef HICKORYGAP_TESTS_PROCESS_GATEWAY_GATEWAY_FIXTURE_HPP
#define HICKORYGAP_TESTS_PROCESS_GATEWAY_GATEWAY_FIXTURE_HPP

#include "connection/event/listener.hpp"
#include "connection/h1/request_reader.hpp"
#include "platform/request_fields.hpp"
#include "process/gateway/caller_session.hpp"
#include "support/loopback.hpp"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap::test
{

// A test backend server on loopback, in the event loop of the test. For each
// request it calls a script that writes raw bytes.
class backend_double
{
public:
    class connection final : public connection_observer
    {
    public:
        connection(backend_double& owner, const Poco::Net::StreamSocket& socket)
            : owner_{owner}
            , socket_{socket}
            , stream_{std::make_unique<stream_connection>(
                  owner.loop_, socket, *this)}
        {
        }

        void on_input() override
        {
            while (reader_.read(stream_->input(), {}) ==
                   request_reader::state::complete)
            {
                owner_.requests_.push_back(reader_.take());
                owner_.script_(*this, owner_.requests_.back());
            }
        }

        void on_end(connection_end /*end*/) override
        {
            ++owner_.ended_;
        }

        // While the server is silent, the bytes wait until it goes on.
        void write(std::string_view bytes)
        {
            if (owner_.is_silent_)
            {
                held_output_ += bytes;
                return;
            }
            stream_->write(bytes);
        }

        void write_held_output()
        {
            stream_->write(std::exchange(held_output_, {}));
        }

        void close()
        {
            stream_->close();
        }

        // Ends the connection with a reset instead of an orderly close.
        void reset()
        {
            socket_.setLinger(true, 0);
            stream_->close();
        }

        // Writes the bytes repeatedly until the peer closes the connection, as
        // fast as it reads them. `count` gets the number of bytes.
        void write_endlessly(const std::string& bytes, std::size_t& count)
        {
            if (!stream_->is_open())
            {
                return;
            }
            if (stream_->pending_output() == 0)
            {
                stream_->write(bytes);
                count += bytes.size();
            }
            owner_.loop_.after(
                std::chrono::microseconds{100},
                [this, bytes, &count] { write_endlessly(bytes, count); });
        }

    private:
        backend_double& owner_;
        Poco::Net::StreamSocket socket_;
        std::unique_ptr<stream_connection> stream_;
        request_reader reader_;
        std::string held_output_;
    };

    using script = std::function<void(connection&, const received_request&)>;

    backend_double(event_loop& loop, std::uint16_t port, script on_request)
        : loop_{loop}
        , port_{port}
        , script_{std::move(on_request)}
        , listener_{loop, [this](const Poco::Net::StreamSocket& socket) {
                        connections_.push_back(
                            std::make_unique<connection>(*this, socket));
                    }}
    {
        is_open_ = listener_.open({"127.0.0.1", port_}).ok();
    }

    // Simulates a crash: closes all connections and the listening port.
    void crash()
    {
        loop_.defer(
            [this]
            {
                listener_.close();
                for (const auto& each : connections_)
                {
                    each->close();
                }
            });
        crashed_ = true;
    }

    // Listens again after a crash; false when the port is taken.
    bool restart()
    {
        crashed_ = !listener_.open({"127.0.0.1", port_}).ok();
        return !crashed_;
    }

    // For this time the server accepts connections and reads requests, but
    // writes nothing.
    void fall_silent(duration time)
    {
        is_silent_ = true;
        loop_.after(
            time,
            [this]
            {
                is_silent_ = false;
                for (const auto& each : connections_)
                {
                    each->write_held_output();
                }
            });
    }

    // Existing connections stay open.
    void refuse_connections()
    {
        loop_.defer([this] { listener_.close(); });
    }

    bool opened() const
    {
        return is_open_;
    }
    bool crashed() const
    {
        return crashed_;
    }
    const std::vector<received_request>& requests() const
    {
        return requests_;
    }
    std::size_t connections() const
    {
        return connections_.size();
    }

    // Connections that the router or the network has closed.
    int ended() const
    {
        return ended_;
    }

private:
    event_loop& loop_;
    std::uint16_t port_;
    script script_;
    listener listener_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::vector<received_request> requests_;
    int ended_ = 0;
    bool is_open_ = false;
    bool crashed_ = false;
    bool is_silent_ = false;
};

// The request path of a router without links to the fleet: one port for callers
// and one service with the servers that a test adds.
class gateway_fixture
{
public:
    // With a router that has just started, nothing is known before the first
    // configuration is set.
    explicit gateway_fixture(const route& routed, bool has_started = true)
        : settings_{make_settings()}
        , is_open_{loop_.open().ok()}
        , context_{loop_, settings_, dialect_, tcp_dialer::shared()}
        , listener_{loop_, [this](const Poco::Net::StreamSocket& socket) {
                        accept(socket);
                    }}
    {
        routed_service service;
        service.name = "reports";
        service.max_connections = 100;
        service.health_path = "/health";
        routing_configuration_builder builder{5};
        builder.add_service(service).add_route(routed);
        builder.add_organisation({"diarroi", {"key-1"}, {}});
        configuration_ = *builder.build();
        settings_.overload.wait_at_start = !has_started;
        if (has_started)
        {
            set_configuration();
        }
        port_ = bind();
    }

    void set_configuration()
    {
        context_.set_configuration(configuration_);
    }

    static route make_route(call_kind kind, std::uint32_t attempts = 2)
    {
        route result;
        result.name = "r";
        result.host = "h.example";
        result.path_prefix = "/a/";
        result.targets = {{"reports", 1}};
        result.kind = kind;
        result.timeout = std::chrono::milliseconds{400};
        result.target_latency = std::chrono::milliseconds{60};
        result.max_attempts = attempts;
        return result;
    }

    backend_double&
    add_backend(backend_double::script on_request, std::string version = {})
    {
        // Retries until a port is free.
        std::unique_ptr<backend_double> added;
        std::uint16_t port = 0;
        do
        {
            port = next_port();
            added = std::make_unique<backend_double>(loop_, port, on_request);
        } while (!added->opened());
        list_.push_back(
            {fmt::format("i-{}", list_.size()),
             "reports",
             "domain-a",
             {"127.0.0.1", port},
             8,
             false,
             std::move(version)});
        context_.set_backend_list(list_);
        backends_.push_back(std::move(added));
        return *backends_.back();
    }

    // Adds a server to the list at whose address nothing listens.
    void add_dead_backend()
    {
        add_listed_backend(next_port());
    }

    // Adds a server to the list that the test itself plays.
    void add_listed_backend(std::uint16_t port)
    {
        list_.push_back(
            {fmt::format("i-{}", list_.size()),
             "reports",
             "domain-a",
             {"127.0.0.1", port},
             8,
             false});
        context_.set_backend_list(list_);
    }

    // Changes the entry of the server that was added first, or takes it off the
    // list.
    void list_first_backend(const std::function<void(listed_backend&)>& change)
    {
        change(list_.front());
        context_.set_backend_list(list_);
    }
    void unlist_first_backend()
    {
        context_.set_backend_list(std::span{list_}.subspan(1));
    }

    event_loop& loop()
    {
        return loop_;
    }

    caller_double& call(const std::string& request)
    {
        callers_.push_back(std::make_unique<caller_double>(loop_, port_));
        callers_.back()->send(request);
        return *callers_.back();
    }

    // Request text with all required header fields.
    static std::string request_text(
        std::string_view fields = "", std::string_view body = "",
        std::string_view method = "POST", std::string_view id = "a1")
    {
        return fmt::format(
            "{} /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
            "Authorization: Bearer key-1\r\n{}Content-Length: {}\r\n\r\n{}",
            method, id, fields, body.size(), body);
    }

    // Fingerprint of a request with this body, see request_text.
    static request_fingerprint fingerprint(std::string_view body)
    {
        return fingerprint_of({"diarroi", "/a/x", body});
    }

    // Runs the event loop until the condition holds; false after one second.
    bool run_until(const std::function<bool()>& condition)
    {
        return test::run_until(loop_, condition);
    }

    void run_for(duration time)
    {
        test::run_for(loop_, time);
    }

    gateway_context& context()
    {
        return context_;
    }
    std::size_t sessions() const
    {
        return sessions_.size();
    }

private:
    static fleet_settings make_settings()
    {
        fleet_settings settings;
        settings.instance.host = "127.0.0.1";
        settings.retry.ratio = 0.2;
        settings.retry.slack = 50;
        return settings;
    }

    std::uint16_t bind()
    {
        std::uint16_t port = 0;
        do
        {
            port = next_port();
        } while (!listener_.open({"127.0.0.1", port}).ok());
        return port;
    }

    void accept(const Poco::Net::StreamSocket& socket)
    {
        const std::uint64_t id = ++last_session_;
        sessions_[id] = std::make_unique<caller_session>(
            context_, socket,
            [this, id] { loop_.defer([this, id] { sessions_.erase(id); }); });
    }

    std::shared_ptr<const routing_configuration> configuration_;
    event_loop loop_;
    fleet_settings settings_;
    platform::request_fields dialect_;
    bool is_open_;
    gateway_context context_;
    listener listener_;
    std::uint16_t port_ = 0;
    std::uint64_t last_session_ = 0;
    std::map<std::uint64_t, std::unique_ptr<caller_session>> sessions_;
    std::vector<listed_backend> list_;
    std::vector<std::unique_ptr<backend_double>> backends_;
    std::vector<std::unique_ptr<caller_double>> callers_;
};

} // namespace hickorygap::test

#endif
