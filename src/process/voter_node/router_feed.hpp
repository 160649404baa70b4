#ifndef HICKORYGAP_PROCESS_VOTER_NODE_ROUTER_FEED_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_ROUTER_FEED_HPP

#include "common/random.hpp"
#include "process/fleet_process/backend_failure_tracker.hpp"
#include "process/fleet_process/backend_list_reader.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/document_feed.hpp"
#include "process/fleet_process/fleet_crash_tracker.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "process/fleet_process/peer_links.hpp"
#include "process/fleet_process/relay_planner.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/paced_broadcast.hpp"
#include "process/voter_node/stream_journal.hpp"
#include "request/dispatch/stream_versions.hpp"
#include "request/rate_limit/rate_limit_allocator.hpp"
#include "version/routing/configuration_format.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace hickorygap
{

// The part of a voter that serves routers: distributes the configuration and
// the list of backend servers to them. As leader it also reads the list from
// the platform and sums up the loads that the routers report.
//
// In a large fleet documents and loads are passed on by relays; see
// relay_planner. All voters send each new version, and each starts at a
// different one of the relays and routers without a relay. Routers report the
// versions that they hold to all voters. So the voters share the work, and they
// send what a relay does not deliver in time.
class router_feed
{
public:
    router_feed(
        event_loop& loop, peer_links& links, const fleet_settings& settings,
        const backend_list_format& list_format,
        const configuration_format& configurations);

    // The voter must outlive the feed.
    void start(const routing_voter& voter);

    // Performs the periodic work that is due; called at each tick of the voter.
    void tick();

    // Returns false for messages that are not for the feed.
    bool receive(
        instance_id from, const wire::payloadUnion& payload,
        link_connection& link);

    // Must be called when the voter has committed a configuration.
    void on_configuration();

    void on_leadership_change();

    // Publishes the evacuated failure domains if they have changed.
    void update_evacuation();

    // Sets the gauges of the feed.
    void update_metrics(metrics_registry& metrics) const;

private:
    wire::payloadUnion
    make_notice(instance_id relay, const std::string& failure_domain);
    void send_notices();
    void on_status(
        instance_id from, const wire::router_status_msg& status,
        link_connection& link);

    void offer(transfer_kind kind);
    void offer_to(transfer_kind kind, bool through_relays);
    bool is_served_by_relay(instance_id router) const;
    void plan_relays();
    void schedule_relay_plan();

    duration list_interval() const;
    void read_backend_list();
    void on_backend_list(absl::StatusOr<std::vector<listed_backend>> list);
    void publish_list();
    void update_cold_rates();
    void
    on_backends_push(instance_id from, const wire::backends_push_msg& push);
    void on_new_backend_list();
    void send_to_voters(const wire::backends_push_msg& changes);
    void summarize_loads();
    void schedule_blame_news();
    void send_blame();
    void on_permit_request(
        const wire::permit_request_msg& request, link_connection& link);
    void keep_limits_of(std::span<const listed_backend> list);
    void schedule_limits();
    void permit_trials();
    void load_streams();
    void on_streams_sent(const wire::streams_sent_msg& message);
    void check_journal();

    event_loop& loop_;
    peer_links& links_;
    instance_id self_;
    const routing_voter* voter_ = nullptr;
    double link_megabits_per_second_;
    double list_calls_per_second_;
    backend_list_reader list_reader_;
    backend_list_replica backends_;
    const configuration_format& configurations_;

    // The list as last read by this voter while it leads.
    std::optional<std::vector<listed_backend>> read_list_;
    time_point list_read_began_;

    // Failure domains that get no requests: the evacuated ones, and those whose
    // evacuation has ended too lately for the list to say which servers are
    // cold.
    std::set<std::string> closed_domains_;
    std::map<std::string, time_point> reopening_domains_;

    // Version of the configuration that limits_ has the cold rates of.
    configuration_version cold_rates_version_ = 0;
    document_feed documents_;
    relay_planner planner_;
    load_codec load_codec_{backends_};
    load_aggregator loads_;
    backend_failure_tracker health_;
    fleet_crash_tracker blame_;
    rate_limit_allocator limits_{0};

    // Version of the limits that all routers were sent.
    std::uint64_t broadcast_limits_ = 0;
    stream_versions streams_;
    stream_journal stream_journal_;
    bool is_journal_writable_ = true;

    timer_id relay_plan_timer_ = 0;

    // Time until the next sum of the loads is sent.
    duration load_interval_ = shortest_load_interval;

    // When the last new version of either document arrived here.
    time_point documents_changed_at_;

    // Number of notices sent since the start or the last change of leadership.
    std::uint64_t notice_count_ = 0;

    // Whether the last attempt to read the list of backend servers succeeded.
    bool list_is_readable_ = true;
    time_point next_notice_;
    time_point next_list_read_;
    time_point next_blame_;
    paced_broadcast blame_broadcast_;
    paced_broadcast limit_broadcast_;
    time_point blame_changed_at_;
    random_engine random_;
};

} // namespace hickorygap

#endif
