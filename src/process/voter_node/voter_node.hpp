#ifndef HICKORYGAP_PROCESS_VOTER_NODE_VOTER_NODE_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_VOTER_NODE_HPP

#include "connection/h1/http_endpoint.hpp"
#include "process/fleet_process/fleet_node.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/operator_dialect.hpp"
#include "process/voter_node/router_feed.hpp"
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

// One voter process: the replicated routing configuration and the operators'
// interface; what the routers get from it is in router_feed.
class voter_node final : public fleet_node
{
public:
    voter_node(
        event_loop& loop, fleet_settings settings, voter_dialects dialects);
    ~voter_node() override;

    absl::Status open() override;
    void reload(const fleet_settings& settings) override;

    // Open filings get a short time.
    void shut_down() override;

    // A log or state that can't be used.
    absl::Status failure() const override
    {
        return failure_;
    }

    std::string metrics_text() override;

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
    void read(const http_responder& respond);
    bool redirect(
        const received_request& request, const http_responder& respond) const;
    void respond_with_configuration(const http_responder& respond) const;
    void count_call(const std::string& call, bool confirmed);
    void finish_filings();
    void finish_reads();
    void expire_calls();

    void note_leadership();
    void ask_to_join();

    event_loop& loop_;
    fleet_settings settings_;
    voter_dialects dialects_;
    instance_id self_;
    metrics_registry metrics_;
    std::unique_ptr<routing_voter> voter_;
    voter_links links_;
    http_endpoint operators_;
    router_feed feed_;

    std::map<std::uint64_t, open_call> filings_;
    std::map<std::uint64_t, open_call> reads_;

    bool settle_due_ = false;
    bool was_leader_ = false;
    configuration_version committed_version_ = 0;
    time_point next_join_;
    absl::Status failure_;
};

} // namespace hickorygap

#endif
