#include "process/voter_node/voter_node.hpp"

#include "common/error.hpp"
#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "common/random.hpp"
#include "common/status_text.hpp"
#include "process/consensus/file_log_storage.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

// Must be a fraction of the heartbeat interval.
constexpr duration tick_interval = std::chrono::milliseconds{50};

constexpr duration raft_heartbeat_interval = std::chrono::milliseconds{100};

// The loss of a leader is detected after one to two election timeouts. Must be
// longer than the pauses of a process that has a small CPU share.
constexpr duration election_timeout = std::chrono::milliseconds{600};

// Entries are sent again after ten heartbeats, which is one second. A link that
// loses them is reconnected within 1.5 s, and a configuration of a few KB takes
// less than a second on the slowest link.
constexpr int resend_after_heartbeats = 10;

// Interval of requests to join or to leave the group.
constexpr duration membership_request_interval = std::chrono::milliseconds{250};

// Grace period for open filings when the process shuts down.
constexpr duration shutdown_grace_period = std::chrono::milliseconds{300};

// Time that a voter waits for its removal from the group when the process shuts
// down. Longer than an election.
constexpr duration leave_timeout = std::chrono::seconds{2};

routing_voter_options
voter_options(const fleet_settings& settings, instance_id self)
{
    routing_voter_options options;
    options.lost_disks = settings.storage.lost_disks;
    options.survives_domain_loss = settings.storage.survives_domain_loss;
    options.raft.self = self;
    options.raft.heartbeat_interval = raft_heartbeat_interval;
    options.raft.election_timeout = election_timeout;
    options.raft.resend_after_heartbeats = resend_after_heartbeats;
    options.raft.half_quorums = true;
    if (!settings.instance.failure_domain.empty())
    {
        options.raft.failure_domain =
            hash_name(settings.instance.failure_domain);
    }
    options.raft.seed = random_seed();
    if (settings.storage.bootstrap)
    {
        for (const std::string& seed : settings.peers.seeds)
        {
            options.raft.initial_voters.push_back(instance_at(seed));
        }
        if (std::ranges::find(options.raft.initial_voters, self) ==
            options.raft.initial_voters.end())
        {
            options.raft.initial_voters.clear();
        }
    }
    return options;
}

} // namespace

voter_node::voter_node(
    event_loop& loop, fleet_settings settings, voter_dialects dialects)
    : loop_{loop}
    , settings_{std::move(settings)}
    , dialects_{dialects}
    , self_{instance_at(settings_.instance.host)}
    , links_{
          loop, self_, settings_.peers.port,
          [this](
              instance_id from, const wire::payloadUnion& payload,
              link_connection& link) { on_message(from, payload, link); }}
    , operators_{
          loop, settings_, *dialects_.configurations, *dialects_.operators,
          metrics_, [this] { schedule_flush(); }}
    , feed_{
          loop, links_, settings_, *dialects_.backend_list,
          *dialects_.configurations}
{
}

voter_node::~voter_node() = default;

absl::Status voter_node::open()
{
    auto opened = routing_voter::open(
        voter_options(settings_, self_),
        std::make_unique<file_log_storage>(settings_.storage.folder),
        loop_.now());
    if (!opened.ok())
    {
        return opened.status();
    }
    voter_ = *std::move(opened);
    if (absl::Status status = links_.open(settings_.instance.host);
        !status.ok())
    {
        return status;
    }
    if (absl::Status status = operators_.open(*voter_); !status.ok())
    {
        return status;
    }
    feed_.start(*voter_);
    tick();
    return absl::OkStatus();
}

void voter_node::reload(const fleet_settings& settings)
{
    settings_.peers.seeds = settings.peers.seeds;
}

void voter_node::shut_down()
{
    operators_.close();
    voter_->leave(loop_.now());
    request_membership();
    end_when_left(loop_.now() + leave_timeout);
}

// Stops the loop once the group can do without this voter, or at the deadline.
void voter_node::end_when_left(time_point deadline)
{
    if (!voter_->has_left() && loop_.now() < deadline)
    {
        loop_.after(
            tick_interval, [this, deadline] { end_when_left(deadline); });
        return;
    }
    log(log_level::info, subsystem::consensus, "group_left in_time={}",
        voter_->has_left());
    loop_.after(
        operators_.has_open_filings() ? shutdown_grace_period : duration{0},
        [this] { loop_.stop(); });
}

std::string voter_node::metrics_text()
{
    const raft_node& raft = voter_->raft();
    metrics_
        .find_gauge(
            "configuration", "version",
            "Newest committed configuration known here; zero without one.")
        .set(static_cast<double>(voter_->current().version));
    metrics_.find_gauge("group", "term", "Term of the group of voters.")
        .set(static_cast<double>(raft.term()));
    metrics_
        .find_gauge(
            "leads", "bool",
            "1 on the voter that leads the group, 0 on others.")
        .set(raft.is_leader() ? 1 : 0);
    metrics_.find_gauge("group", "voters", "Voters of the group.")
        .set(static_cast<double>(
            raft.configuration() ? raft.configuration()->voters.size() : 0));
    feed_.update_metrics(metrics_);
    return metrics_.prometheus_text();
}

void voter_node::tick()
{
    loop_.after(tick_interval, [this] { tick(); });
    voter_->tick(loop_.now());
    flush_and_send();
    request_membership();
    operators_.expire_calls();
    feed_.tick();
}

void voter_node::schedule_flush()
{
    if (!std::exchange(flush_scheduled_, true))
    {
        loop_.defer([this] { flush_and_send(); });
    }
}

void voter_node::flush_and_send()
{
    flush_scheduled_ = false;
    const absl::Status status = voter_->flush();
    if (kind_of(status) == error_kind::storage_damaged)
    {
        failure_ = status;
        loop_.stop();
        return;
    }
    for (const outgoing_message& message : voter_->take_outgoing())
    {
        links_.send(message.destination, message.payload);
    }
    operators_.finish_calls();
    check_leadership_change();
    feed_.update_evacuation();
    if (voter_->current().version != committed_version_)
    {
        log(log_level::info, subsystem::configuration,
            "configuration_committed version={} previous={} term={}",
            voter_->current().version, committed_version_,
            voter_->raft().term());
        committed_version_ = voter_->current().version;
        feed_.on_configuration();
    }
}

void voter_node::check_leadership_change()
{
    const bool leads = voter_->raft().is_leader();
    if (leads == was_leader_)
    {
        return;
    }
    was_leader_ = leads;
    log(log_level::info, subsystem::consensus,
        "leadership_changed leads={} term={}", leads, voter_->raft().term());
    feed_.on_leadership_change();
}

void voter_node::on_message(
    instance_id from, const wire::payloadUnion& payload, link_connection& link)
{
    if (feed_.receive(from, payload, link))
    {
        return;
    }
    voter_->receive(from, payload, loop_.now());
    schedule_flush();
}

// Membership.

void voter_node::request_membership()
{
    if (loop_.now() < next_membership_request_)
    {
        return;
    }
    std::vector<instance_id> seeds;
    for (const std::string& seed : settings_.peers.seeds)
    {
        seeds.push_back(instance_at(seed));
    }
    const auto requests = voter_->membership_requests(seeds);
    if (requests.empty())
    {
        return;
    }
    next_membership_request_ = loop_.now() + membership_request_interval;
    for (const outgoing_message& request : requests)
    {
        links_.send(request.destination, request.payload);
    }
}

} // namespace hickorygap
