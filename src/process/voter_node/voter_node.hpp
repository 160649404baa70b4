#ifndef HICKORYGAP_PROCESS_VOTER_NODE_VOTER_NODE_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_VOTER_NODE_HPP

#include "connection/h1/http_endpoint.hpp"
#include "process/fleet_process/backend_list_reader.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/operator_dialect.hpp"
#include "process/voter_node/voter_links.hpp"
#include "version/routing/configuration_format.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickorygap
{

// Formats in which a voter's neighbours speak. All must outlive the voter.
struct voter_dialects
{
    const configuration_format* configurations = nullptr;
    const backend_list_format* backend_list = nullptr;
    const operator_dialect* operators = nullptr;
};

// One voter process: the replicated routing configuration, the operators'
// interface, and the sending of configurations and of the list of backend
// servers to the routers.
class voter_node
{
public:
    voter_node(
        event_loop& loop, fleet_settings settings, voter_dialects dialects);
    ~voter_node();

    // Opens storage and ports. Errors: storage_damaged, storage_failed,
    // unreachable.
    absl::Status open();

    // Reads changed settings; only the seeds can change while it runs.
    void reload(const fleet_settings& settings);

    // Ends the process's work in order: open filings get a short time.
    void shut_down();

    // Not OK when the voter can't go on, which stops the loop.
    const absl::Status& failure() const
    {
        return failure_;
    }

    metrics_registry& metrics()
    {
        return metrics_;
    }

private:
    struct open_call
    {
        http_responder respond;
        configuration_version version = 0;
        time_point since;
    };

    void tick();
    void settle_soon();
    void settle();
    void on_message(
        instance_id from, const wire::payloadUnion& payload,
        link_connection& link);

    void serve(received_request request, const http_responder& respond);
    void file(const received_request& request, const http_responder& respond);
    void read(const received_request& request, const http_responder& respond);
    bool redirect(
        const received_request& request, const http_responder& respond) const;
    void respond_with_configuration(const http_responder& respond) const;
    void finish_filings();
    void finish_reads();
    void expire_calls();

    wire::payloadUnion notice() const;
    void notify_routers();
    void note_leadership();
    void read_backend_list();
    void send_to_voters(const wire::payloadUnion& payload);
    void summarize_loads();
    void ask_to_join();

    event_loop& loop_;
    fleet_settings settings_;
    voter_dialects dialects_;
    instance_id self_;
    metrics_registry metrics_;
    std::unique_ptr<routing_voter> voter_;
    voter_links links_;
    http_endpoint operators_;
    backend_list_reader list_reader_;
    backend_list_replica backends_;
    load_aggregator loads_;

    std::map<std::uint64_t, open_call> filings_;
    std::map<std::uint64_t, open_call> reads_;

    bool settle_due_ = false;
    bool was_leader_ = false;
    bool list_was_read_ = true;
    configuration_version notified_version_ = 0;
    time_point next_notice_;
    time_point next_list_read_;
    time_point next_join_;
    absl::Status failure_;
};

} // namespace hickorygap

#endif
