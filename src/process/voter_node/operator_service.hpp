#ifndef HICKORYGAP_PROCESS_VOTER_NODE_OPERATOR_SERVICE_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_OPERATOR_SERVICE_HPP

#include "connection/h1/http_endpoint.hpp"
#include "process/fleet_process/client_limits.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/operator_dialect.hpp"
#include "version/routing/configuration_format.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <string>

namespace hickorygap
{

// HTTP interface of a voter for operators, who file and read configurations
// with it. Filings are redirected to the leader; any voter serves reads.
class operator_service
{
public:
    // on_change: called when the voter has changes to make durable or messages
    // to send.
    operator_service(
        event_loop& loop, const fleet_settings& settings,
        const configuration_format& configurations,
        const operator_dialect& dialect, metrics_registry& metrics,
        std::function<void()> on_change);

    // The voter must outlive the service. Error: unreachable when the port
    // can't be bound.
    absl::Status open(routing_voter& voter);

    // Stops accepting calls. Open calls are still answered.
    void close();

    // Answers the calls whose filings and reads the voter has completed.
    void finish_calls();

    // Answers the calls that have timed out.
    void expire_calls();

    bool has_open_filings() const
    {
        return !open_filings_.empty();
    }

private:
    struct open_call
    {
        http_responder respond;
        configuration_version version = 0;
        time_point since;

        // Empty for a configuration.
        std::string failure_domain = {};
    };

    void serve(received_request request, const http_responder& respond);
    void file(const received_request& request, const http_responder& respond);
    void read(const http_responder& respond);
    void evacuate(
        const received_request& request, bool active,
        const http_responder& respond);
    bool redirect(
        const received_request& request, const http_responder& respond) const;
    void respond_with_configuration(const http_responder& respond) const;
    void count_call(const std::string& call, bool confirmed);
    static http_response evacuation_accepted(const std::string& domain);
    void finish_filings();
    void finish_reads();

    event_loop& loop_;
    const fleet_settings& settings_;
    const configuration_format& configurations_;
    const operator_dialect& dialect_;
    metrics_registry& metrics_;
    std::function<void()> on_change_;
    client_limits limits_;
    buffer_budget buffers_;
    http_endpoint endpoint_;
    routing_voter* voter_ = nullptr;
    std::map<std::uint64_t, open_call> open_filings_;
    std::map<std::uint64_t, open_call> open_reads_;
};

} // namespace hickorygap

#endif
