#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_MEMBERSHIP_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_MEMBERSHIP_HPP

#include "common/random.hpp"
#include "process/membership/evidence_codec.hpp"
#include "process/membership/gossip_queue.hpp"
#include "process/membership/member_table.hpp"

#include <span>

namespace hickorygap
{

struct membership_options
{
    instance_id self = 0;

    // Start of this process, in microseconds of Unix time.
    incarnation_number incarnation = 0;

    // Control address of this instance, "host:port".
    std::string address;
    std::string failure_domain;
    bool voter = false;
    std::vector<seed_member> seeds;
    std::uint64_t random_seed = 0;

    // One member is probed in each period.
    duration probe_period{std::chrono::seconds{1}};

    // When a probe is not answered within this time, other members are asked to
    // probe. Inter-region round trips are well below it.
    duration ack_timeout{std::chrono::milliseconds{300}};

    // When neither the direct nor the indirect probes are answered within this
    // time, the member becomes suspect.
    duration probe_timeout{std::chrono::milliseconds{800}};
    std::size_t indirect_probes = 3;

    // A suspect that does not refute within this time is declared dead.
    // Together with the mean wait for the next probe (about 1 s) and the probe
    // timeout, a death is detected in 3 to 5 s.
    duration suspicion_timeout{std::chrono::milliseconds{2500}};

    // A suspect still counts as live for this time.
    duration lease_period{std::chrono::seconds{3}};

    // Besides the probe in round-robin order, one random member is pinged in
    // each period for its evidence. At 380 members, evidence about all of them
    // reaches every member within about 6 s with these two pings a second, and
    // within 12 s with one.
    duration evidence_period{std::chrono::seconds{1}};

    // Dead members are forgotten after this time; see membership.
    duration forget_after{std::chrono::minutes{10}};

    // Limit for the updates in one message, without its fixed part and its
    // evidence.
    std::size_t max_piggyback_bytes = 700;

    // Limit for the records in one answer to a member that synchronizes.
    std::size_t max_sync_page_bytes = 4096;
};

// Load of one cell as its owner reported it.
struct reported_load
{
    instance_id owner = 0;
    time_point received;
    wire::cell_load_msg load;
};

// SWIM membership of one instance: probes, indirect probes, suspicion,
// refutation by incarnation, and updates piggybacked on the probes.
//
// Evidence that a member is running comes only from answers to this instance's
// own pings. For the member that answers it is dated at the time when the ping
// was sent; for third members, at that time minus the age that the answering
// member reports. So neither a message that was delayed in a buffer nor gossip
// among members that are partitioned together can make evidence look fresher
// than it is, and an instance that gets no answers has no fresh evidence.
//
// Dead members count as members of the fleet for forget_after, because they
// may be running on the other side of a partition. They are forgotten only
// while this instance reaches more than half of the members; otherwise an
// isolated instance would after ten minutes consider itself the whole fleet and
// take work on an old configuration. Members that announced that they leave
// stop counting at once, because they take no more work.
class membership
{
public:
    membership(membership_options options, time_point now);

    // Runs the timers. To be called about every 20 ms or more often.
    void tick(time_point now);

    // Handles ping, ping_ack and ping_request; ignores other payloads.
    void receive(
        instance_id from, incarnation_number from_incarnation,
        const wire::payloadUnion& payload, time_point now);

    std::vector<outgoing_message> take_outgoing();

    // All known members ordered by id, this instance included, and also dead
    // ones and those that left until they are forgotten. version_since_unix_ms
    // is zero when only the version is known.
    std::vector<wire::member_update_msg> members() const;

    // Ids of members that are alive or, for the lease period, suspect.
    std::vector<instance_id> live_members(time_point now) const;

    // Addresses of members that are new or changed, as "host:port".
    std::vector<std::pair<instance_id, std::string>> take_address_changes();

    // Sets the configuration version that this instance has applied.
    void set_version(configuration_version version, unix_millis since_unix_ms);
    void set_ready(bool ready);

    // Sets the current voters, whose majority decides when exactly half of the
    // members are reachable; see reaches_half_of_members.
    void set_voters(std::span<const instance_id> voters);

    // Announces a planned shutdown and stops probing.
    void leave(time_point now);

    // Whether more than half of the voters are reachable: there is evidence not
    // older than `freshness` that they are running. This instance counts as
    // reachable.
    bool reaches_majority_of(
        std::span<const instance_id> voters, time_point now,
        duration freshness) const;

    // Whether more than half of the members that count are reachable, or
    // exactly half of them including a majority of the voters. False until the
    // member list has been fetched from another member.
    bool reaches_half_of_members(time_point now, duration freshness) const;

    // Number of reachable members among those that count, and of all that
    // count, this instance included.
    std::size_t reachable_members(time_point now, duration freshness) const;
    std::size_t counted_members() const;

    // Whether the member list has been fetched from another member; true from
    // the start on an instance without seeds.
    bool synchronized() const
    {
        return synchronized_;
    }

    // Gossips a quarantine to all members; of several ends the latest holds.
    void add_quarantine(request_fingerprint fingerprint, unix_millis until);

    // Quarantines in force at that time; ended ones are removed.
    std::vector<wire::quarantine_entry_msg> quarantines(unix_millis now);

    // Sets the loads of the cells that this instance owns; they are sent with
    // its pings and acknowledgements.
    void set_cell_loads(std::vector<wire::cell_load_msg> loads);

    // Latest load of each cell that another member reported.
    const std::map<cell_id, reported_load>& cell_loads() const
    {
        return cell_loads_;
    }

    // Total size of the envelopes returned by take_outgoing.
    std::uint64_t bytes_sent() const
    {
        return bytes_sent_;
    }

    incarnation_number incarnation() const
    {
        return table_.own_record().incarnation;
    }

private:
    enum class ping_purpose
    {
        // A missing answer makes the target suspect.
        probe,
        // Only for the exchange of updates and evidence.
        exchange,
        // On behalf of another member that got no answer.
        indirect
    };

    struct outstanding_ping
    {
        instance_id target = 0;
        ping_purpose purpose = ping_purpose::exchange;
        time_point sent;
        bool indirect_sent = false;
        bool failed = false;
        instance_id requester = 0;
        std::uint32_t requester_sequence = 0;
    };

    void
    handle_ping(instance_id from, const wire::ping_msg& ping, time_point now);
    void
    handle_ack(instance_id from, const wire::ping_ack_msg& ack, time_point now);
    void handle_ping_request(
        instance_id from, const wire::ping_request_msg& request,
        time_point now);
    void merge_evidence(
        const wire::ping_ack_msg& ack, time_point sent, time_point now);
    void handle_sync_page(
        instance_id from, const wire::ping_ack_msg& ack, time_point now);

    template <typename Message>
    void merge_gossip(
        instance_id from, const Message& message, bool spread, time_point now);
    template <typename Message>
    void add_gossip(instance_id receiver, Message& message, time_point now);
    void add_sync_page(wire::ping_ack_msg& ack, std::uint32_t after) const;
    void merge_update(
        const wire::member_update_msg& update, bool spread, time_point now);
    void merge_delta(
        const wire::member_delta& delta, instance_id from, time_point now);
    void handle_merge_result(
        instance_id id, merge_result result, bool spread, bool was_live);
    void refute(incarnation_number seen, wire::member_state state);
    void compare_view_digest(std::uint64_t digest);

    std::uint32_t
    send_ping(instance_id target, ping_purpose purpose, time_point now);
    void start_probe(time_point now);
    void start_exchange(time_point now);
    void ping_unreachable_members(time_point now);
    void continue_sync(time_point now);
    void check_probes(time_point now);
    void send_indirect_probes(std::uint32_t sequence, outstanding_ping& ping);
    void suspect(instance_id id, time_point now);
    void check_suspects(time_point now);
    bool may_suspect(const outstanding_ping& ping, time_point now) const;
    bool has_evidence_within(
        const member_entry& entry, time_point now, duration freshness) const;

    std::optional<instance_id> next_probe_target();
    std::optional<instance_id> random_live_member();
    std::vector<instance_id> other_live_members() const;
    std::vector<evidence_entry> own_evidence(time_point now) const;
    unsigned gossip_limit() const;
    void send(instance_id destination, wire::payloadUnion payload);

    membership_options options_;
    random_engine random_;
    member_table table_;
    gossip_queue member_gossip_;
    gossip_queue quarantine_gossip_;
    std::vector<outgoing_message> outgoing_;
    std::map<std::uint32_t, outstanding_ping> pings_;
    std::uint32_t next_sequence_ = 1;
    std::vector<instance_id> probe_order_;
    time_point next_probe_;
    time_point next_exchange_;
    time_point next_reconnect_;
    time_point next_forget_;
    time_point started_;
    time_point last_tick_;
    std::optional<time_point> last_answer_;
    bool left_ = false;

    bool synchronized_ = false;
    bool synchronizing_ = false;
    std::uint32_t sync_after_ = 0;
    time_point next_sync_;
    unsigned view_mismatches_ = 0;

    std::vector<instance_id> voters_;
    std::map<request_fingerprint, unix_millis> quarantines_;
    std::vector<wire::cell_load_msg> own_loads_;
    std::map<cell_id, reported_load> cell_loads_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace hickorygap

#endif
