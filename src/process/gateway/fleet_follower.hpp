#ifndef HICKORYGAP_PROCESS_GATEWAY_FLEET_FOLLOWER_HPP
#define HICKORYGAP_PROCESS_GATEWAY_FLEET_FOLLOWER_HPP

#include "common/random.hpp"
#include "connection/link/link_connection.hpp"
#include "process/fleet_process/backend_list_reader.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/gateway/relay_link.hpp"
#include "process/gateway/relay_service.hpp"
#include "process/gateway/stream_backup_links.hpp"
#include "process/gateway/stream_backup_store.hpp"
#include "request/dispatch/backend_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Receives what the voters send to a router.
class fleet_observer
{
public:
    fleet_observer() = default;
    fleet_observer(const fleet_observer&) = delete;
    fleet_observer& operator=(const fleet_observer&) = delete;
    virtual ~fleet_observer() = default;

    // A newer configuration; returns false when it can't be used.
    virtual bool on_configuration(
        configuration_version version, std::string_view document) = 0;
    virtual void on_backend_list(std::span<const listed_backend> list) = 0;

    // Load report of this router, for its relay or the leader.
    virtual std::vector<backend_load> report_loads() = 0;

    // Load totals over all routers.
    virtual void on_fleet_load(std::span<const fleet_backend_load> fleet) = 0;

    // Crashes of backend servers that this router has observed, with the
    // requests involved: take_blame those since its last call, all_blame all of
    // them for a new leader. nullopt when there are none.
    virtual std::optional<wire::blame_report_msg> take_blame() = 0;
    virtual std::optional<wire::blame_report_msg> all_blame() const = 0;

    // Crashes that a voter knows of.
    virtual void on_blame(const wire::blame_report_msg& report) = 0;

    // An answer of the leader to a query for a permit, or its table of limits.
    virtual void on_permit_grant(const wire::permit_grant_msg& grant) = 0;

    // Streams of which a voter that has just been linked may not know.
    virtual std::optional<wire::streams_sent_msg> open_streams() const = 0;

    // Streams of another router that has ended, of which no voter could be
    // told.
    virtual void
    on_streams_inherited(const wire::streams_sent_msg& streams) = 0;

    // A voter's answer to a query for the software version of a stream.
    virtual void on_stream_answer(const wire::stream_answer_msg& answer) = 0;

    // Number of routers in the fleet, this one included.
    virtual void on_router_count(std::uint32_t routers) = 0;

    // Services whose backend servers this router can't connect to.
    virtual std::vector<service_id> lost_services() const = 0;

    // Routers that reach all services, the preferred ones first.
    virtual void on_tunnel_hosts(std::span<const instance_id> hosts) = 0;
};

// Keeps a router's links to all voters and to its relay, and through them its
// configuration and backend list up to date. Reads the list itself while no
// leader is heard. Configurations from a relay are checked against the version
// that the voters have committed: only the voters' log decides what is in
// force.
class fleet_follower final : public link_observer
{
public:
    fleet_follower(
        event_loop& loop, const fleet_settings& settings,
        const backend_list_format& list_format, fleet_observer& observer);
    ~fleet_follower() override;

    // Error: unreachable, when the port for links can't be bound.
    absl::Status start();

    // Replaces the seeds after a change of the settings.
    void set_seeds(std::span<const std::string> seeds);

    // There are new crashes for take_blame to report.
    void report_blame();

    // Hosts tunnels for other routers, see tunnel_service.
    void set_tunnels(tunnel_service& tunnels)
    {
        relay_service_.set_tunnels(tunnels);
    }

    // Tells the voters the state of this router at once, after a change of its
    // lost services.
    void announce_state();

    // Sends a message to the leader directly, because a relay would delay it.
    // False when there is no link to a leader that was heard lately.
    bool send_to_leader(const wire::payloadUnion& payload);

    // Sends a message to all linked voters; returns their number.
    std::size_t send_to_voters(const wire::payloadUnion& payload);

    // Tells all linked voters and the backup routers of new streams.
    void send_streams(const wire::streams_sent_msg& streams);

    // Time since the last message from a leader, direct or through the relay.
    duration leader_silence() const;

    void on_link_ready(link_connection& link) override;
    void on_message(link_connection& link, wire::envelope_msg message) override;
    void on_link_end(link_connection& link) override;

private:
    struct voter_link
    {
        std::unique_ptr<link_connection> link;
        time_point dialled_at;
        time_point next_dial;

        // From the last notice of the voter.
        std::uint32_t routers = 0;
        time_point heard_at;
    };

    void tick();
    void report_loads();
    link_connection* leader_link();
    void dial(instance_id voter, voter_link& item);
    void on_notice(link_connection& link, const wire::voter_notice_msg& notice);
    void on_routing(link_connection& link, const wire::routing_push_msg& push);
    void
    on_backends(link_connection& link, const wire::backends_push_msg& push);
    bool reaches_voters() const;
    void link_to(std::span<const instance_id> voters);
    void update_voters(std::span<const instance_id> voters);
    void
    on_loads(const link_connection& link, const wire::load_summary_msg& loads);

    bool is_relay() const
    {
        return assigned_relay_ == self_;
    }
    bool uses_relay() const
    {
        return relay_.is_serving();
    }
    wire::router_status_msg status() const;
    void set_relay(instance_id relay);
    link_connection* load_receiver();
    void report_all_blame(link_connection& leader);
    void count_routers();
    void read_list_if_leaderless();
    duration leaderless_call_interval() const;
    duration leaderless_read_interval() const;

    event_loop& loop_;
    instance_id self_;
    std::string failure_domain_;
    std::uint16_t port_;
    double list_calls_per_second_;
    fleet_observer& observer_;
    random_engine random_;
    std::vector<instance_id> seeds_;
    std::map<instance_id, voter_link> voters_;
    timer_id timer_ = 0;
    timer_id load_timer_ = 0;

    // The last leader that was heard; zero before the first.
    instance_id leader_ = 0;

    // The link on which the current leader got the full crash report.
    const link_connection* informed_leader_ = nullptr;

    // Relay that the leader's last notice assigns; zero for none, self_ when
    // this router is a relay.
    instance_id assigned_relay_ = 0;
    relay_link relay_;
    backend_list_replica backends_;
    load_codec load_codec_;
    stream_backup_store stream_store_;
    relay_service relay_service_;
    stream_backup_links stream_backups_;

    // The voters that the leader has named last.
    std::vector<instance_id> named_voters_;

    // Newest configuration version that a voter has reported as committed.
    configuration_version committed_version_ = 0;

    configuration_version version_ = 0;
    // Configuration document of version_.
    std::string document_;

    backend_list_reader list_reader_;
    time_point leader_heard_at_;
    bool is_leaderless_ = false;
    time_point next_leaderless_read_;
    time_point next_status_;
    time_point next_relay_status_;

    // The voters have been told that the current relay serves this router.
    bool relay_announced_ = false;
    std::uint32_t routers_ = 0;

    // No voter has told the number of routers yet.
    bool is_router_count_assumed_ = true;
};

} // namespace hickorygap

#endif
