#ifndef HICKORYGAP_TESTS_CONNECTION_HTTP_RELAY_FIXTURE_HPP
#define HICKORYGAP_TESTS_CONNECTION_HTTP_RELAY_FIXTURE_HPP

#include "connection/http/caller_handler.hpp"
#include "connection/http/raw_client.hpp"
#include "support/engine_handler.hpp"
#include "support/fake_control_client.hpp"
#include "support/scripted_backend.hpp"
#include "support/service_handler.hpp"
#include "support/test_configuration.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hickorygap::testing
{

// Waits until the condition holds. The limit only fails a test that would hang.
inline bool eventually(const std::function<bool()>& condition)
{
    const time_point limit = boot_now() + std::chrono::seconds{60};
    while (!condition())
    {
        if (boot_now() > limit)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
    }
    return true;
}

// A router with a fake control client and stand-in backend servers in one
// process.
class relay_fixture
{
public:
    explicit relay_fixture(
        caller_request_limits limits = {}, relay_options relay_settings = {},
        http_server_options server_settings = {})
        : relay(control, blame, counters, relay_settings)
        , handler(control, relay, counters, limits, 1)
        , server(server_settings, handler)
    {
    }

    ~relay_fixture()
    {
        server.stop_accepting();
        control.hold_queries(false);
    }

    void add_server(
        const std::string& name, const std::string& service,
        stand_in_function handle)
    {
        stand_ins.push_back(start_stand_in(0, 32, std::move(handle)));
        servers.push_back({name, service, stand_ins.back()->port()});
    }

    engine_model&
    add_engine(const std::string& name, const engine_options& options = {})
    {
        engines.push_back(std::make_unique<engine_model>(options));
        add_server(name, "report-7b", make_engine_handler(*engines.back()));
        return *engines.back();
    }

    void start()
    {
        control.set_configuration(make_test_configuration(servers));
        std::vector<backend_server_id> order;
        for (const test_server& each : servers)
        {
            order.push_back(hash_name(each.name));
        }
        control.prefer(order);
        const absl::Status status = server.start();
        if (!status.ok())
        {
            throw std::runtime_error{std::string{status.message()}};
        }
    }

    scripted_backend& add_scripted(
        const std::string& name, const std::string& service,
        scripted_backend::script run)
    {
        scripted.push_back(std::make_unique<scripted_backend>(std::move(run)));
        servers.push_back({name, service, scripted.back()->port()});
        return *scripted.back();
    }

    // Waits until there are as many attempt reports as grants.
    bool all_grants_returned()
    {
        return eventually(
            [this] { return control.reports().size() == control.granted(); });
    }

    std::vector<wire::attempt_outcome> outcomes()
    {
        std::vector<wire::attempt_outcome> result;
        for (const attempt_report& report : control.reports())
        {
            result.push_back(report.outcome);
        }
        return result;
    }

    // Sends one request on a new connection and reads the response.
    raw_response send_request(const std::string& text)
    {
        raw_client client{server.port()};
        client.send(text);
        return client.read_response();
    }

    fake_control_client control;
    shared_blame_tracker blame;
    relay_counters counters;
    request_relay relay;
    caller_handler handler;
    std::vector<std::unique_ptr<engine_model>> engines;
    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> stand_ins;
    std::vector<std::unique_ptr<scripted_backend>> scripted;
    std::vector<test_server> servers;
    http_server server;
};

inline constexpr const char* streamed_body =
    R"({"model":"report-7b","stream":true,"user":"ada"})";

} // namespace hickorygap::testing

#endif
