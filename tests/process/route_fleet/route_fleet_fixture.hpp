#ifndef HICKORYGAP_TESTS_PROCESS_ROUTE_FLEET_ROUTE_FLEET_FIXTURE_HPP
#define HICKORYGAP_TESTS_PROCESS_ROUTE_FLEET_ROUTE_FLEET_FIXTURE_HPP

#include "connection/h1/http_endpoint.hpp"
#include "platform/configuration_document.hpp"
#include "platform/control_calls.hpp"
#include "platform/replica_list.hpp"
#include "platform/request_fields.hpp"
#include "process/gateway/gateway.hpp"
#include "process/gateway/gateway_fixture.hpp"
#include "process/voter_node/voter_node.hpp"
#include "support/cut_dialer.hpp"
#include "support/loopback.hpp"
#include "support/temporary_folder.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace hickorygap::test
{

// A voter, routers that are linked to it, and the backend list server of the
// platform, all on loopback and in one event loop.
class route_fleet
{
public:
    // document: the configuration that is committed before any router starts.
    // data_folder: of the voter, which has created it before; a new one if
    // empty.
    route_fleet(
        std::size_t routers, std::string document, std::string data_folder = {})
        : data_folder_{data_folder.empty() ? folder_.path() : data_folder}
        , document_{std::move(document)}
        , list_server_{
              loop_, request_limits{},
              [this](
                  const received_request& /*request*/,
                  const http_responder& respond)
              {
                  http_response answer;
                  answer.body = list_text();
                  respond(answer);
              }}
    {
        REQUIRE(loop_.open().ok());
        do
        {
            list_address_ = {"127.0.0.1", next_port()};
        } while (!list_server_.open(list_address_).ok());
        start_voter();
        submit_document(document_);
        for (std::size_t i = 0; i < routers; ++i)
        {
            add_router();
        }
    }

    // Objects that the loop destroys later refer to the dialers.
    ~route_fleet()
    {
        routers_.clear();
        loop_.run_once(duration{0});
    }

    // The server is in the list from the next read by the leader on.
    backend_double& add_backend(
        const backend_double::script& on_request, std::string version = "v1",
        std::string service = "llm", std::string domain = "domain-a")
    {
        std::unique_ptr<backend_double> added;
        std::uint16_t port = 0;
        do
        {
            port = next_port();
            added = std::make_unique<backend_double>(loop_, port, on_request);
        } while (!added->opened());
        ports_.push_back(port);
        versions_.push_back(std::move(version));
        services_.push_back(std::move(service));
        domains_.push_back(std::move(domain));
        cold_.push_back(false);
        backends_.push_back(std::move(added));
        return *backends_.back();
    }

    // The server of this position starts again under its id with other
    // software; in the list from the next read by the leader on.
    void change_version(std::size_t backend, std::string version)
    {
        versions_.at(backend) = std::move(version);
    }

    // Starts one more router, with the next number.
    void add_router()
    {
        constexpr std::size_t first_host = 2;
        std::unique_ptr<gateway> router;
        fleet_settings settings;
        dialers_.push_back(std::make_unique<cut_dialer>());
        do
        {
            settings = common_settings(
                fmt::format("127.0.0.{}", routers_.size() + first_host));
            settings.callers = {"127.0.0.1", next_port()};
            settings.readiness = {"127.0.0.1", next_port()};
            router = std::make_unique<gateway>(
                loop_, settings,
                gateway_dialects{&requests_, &configurations_, &list_},
                *dialers_.back());
        } while (!router->open().ok());
        caller_ports_.push_back(settings.callers.port);
        routers_.push_back(std::move(router));
    }

    // Whether the list says from its next read on that the server is cold.
    void set_cold(std::size_t backend, bool cold)
    {
        cold_.at(backend) = cold;
    }

    // Sends an operator's order and returns the status line of the answer.
    std::string order(std::string_view method, std::string_view path)
    {
        caller_double caller{loop_, operators_port_};
        caller.send(fmt::format(
            "{} {} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method,
            path));
        run_until(
            loop_, [&] { return !caller.received().empty(); },
            std::chrono::seconds{3});
        return caller.received().substr(0, caller.received().find("\r\n"));
    }

    // Cuts all routers off from the only voter.
    void stop_voter()
    {
        voter_.reset();
    }

    // Waits until each router has the configuration and knows all servers.
    void await_readiness()
    {
        const std::string known =
            fmt::format("backend_servers_servers {}\n", backends_.size());
        for (const auto& router : routers_)
        {
            REQUIRE(run_until(
                loop_,
                [&]
                {
                    const std::string metrics = router->metrics_text();
                    return metrics.find("configuration_version 0\n") ==
                               std::string::npos &&
                           metrics.find(known) != std::string::npos;
                },
                std::chrono::seconds{5}));
        }
    }

    // Commits a configuration; its version must be higher than the last one.
    void submit_document(const std::string& document)
    {
        std::string answer;
        for (int attempt = 0; attempt < 50; ++attempt)
        {
            caller_double caller{loop_, operators_port_};
            caller.send(fmt::format(
                "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n"
                "{}",
                document.size(), document));
            run_until(
                loop_, [&] { return !caller.received().empty(); },
                std::chrono::seconds{3});
            answer = caller.received();
            if (answer.find("200 OK") != std::string::npos)
            {
                return;
            }
            run_for(std::chrono::milliseconds{100});
        }
        FAIL(
            "voter did not accept the configuration; last response: "
            << answer);
    }

    caller_double& call(std::size_t router, const std::string& request)
    {
        callers_.push_back(
            std::make_unique<caller_double>(loop_, caller_ports_.at(router)));
        callers_.back()->send(request);
        return *callers_.back();
    }

    void run_for(duration time)
    {
        test::run_for(loop_, time);
    }

    // Cuts a router off from the servers of the service, or from all servers if
    // it is empty.
    void cut(std::size_t router, cut_mode mode, std::string_view service = {})
    {
        std::set<std::uint16_t> ports;
        for (std::size_t i = 0; i < ports_.size(); ++i)
        {
            if (services_[i] == service)
            {
                ports.insert(ports_[i]);
            }
        }
        dialers_.at(router)->cut(mode, std::move(ports));
    }

    gateway& router(std::size_t index)
    {
        return *routers_.at(index);
    }

    event_loop& loop()
    {
        return loop_;
    }

private:
    std::string list_text() const
    {
        std::string entries;
        for (std::size_t i = 0; i < ports_.size(); ++i)
        {
            entries += fmt::format(
                R"({}{{"id":"i-{}","service":"{}","address":"127.0.0.1:{}",)"
                R"("zone":"{}","version":"{}","slots":8,)"
                R"("state":"ready","cold_remaining_ms":{}}})",
                i == 0 ? "" : ",", i, services_[i], ports_[i], domains_[i],
                versions_[i], cold_[i] ? 2500 : 0);
        }
        return fmt::format(R"({{"instances":[{}],"next":null}})", entries);
    }

    fleet_settings common_settings(std::string host) const
    {
        fleet_settings settings;
        settings.instance.host = std::move(host);
        settings.peers.port = peer_port_;
        settings.peers.seeds = {"127.0.0.1"};
        settings.backend_list.address = list_address_;
        settings.backend_list.calls_per_second = 50;
        settings.retry.ratio = 0.2;
        settings.retry.slack = 50;
        return settings;
    }

    void start_voter()
    {
        do
        {
            peer_port_ = next_port();
            fleet_settings settings = common_settings("127.0.0.1");
            settings.storage.folder = data_folder_;
            settings.storage.bootstrap = true;
            settings.operators = {"127.0.0.1", next_port()};
            operators_port_ = settings.operators.port;
            voter_ = std::make_unique<voter_node>(
                loop_, settings,
                voter_dialects{&configurations_, &list_, &calls_});
        } while (!voter_->open().ok());
    }

    temporary_folder folder_;
    std::string data_folder_;
    event_loop loop_;
    std::string document_;
    platform::configuration_document configurations_;
    platform::replica_list list_;
    platform::control_calls calls_;
    platform::request_fields requests_;
    http_endpoint list_server_;
    numeric_address list_address_;
    std::uint16_t peer_port_ = 0;
    std::uint16_t operators_port_ = 0;
    std::unique_ptr<voter_node> voter_;
    std::vector<std::uint16_t> caller_ports_;
    std::vector<std::unique_ptr<cut_dialer>> dialers_;
    std::vector<std::unique_ptr<gateway>> routers_;
    std::vector<std::uint16_t> ports_;
    std::vector<std::string> versions_;
    std::vector<std::string> services_;
    std::vector<std::string> domains_;
    std::vector<bool> cold_;
    std::vector<std::unique_ptr<backend_double>> backends_;
    std::vector<std::unique_ptr<caller_double>> callers_;
};

// Whether the caller has a response, or has lost its connection.
inline bool is_answered(const caller_double& caller)
{
    return !caller.received().empty() || caller.ended();
}

} // namespace hickorygap::test

#endif
