#include "process/gateway/fleet_follower.hpp"

#include "common/compression.hpp"
#include "common/logging.hpp"
#include "common/random_duration.hpp"
#include "common/status_text.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "version/routing/configuration_format.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Interval at which links and reads of the backend list are checked.
constexpr duration tick_interval = std::chrono::milliseconds{250};

// Interval of status messages to voters and relays. Voters get them half as
// often from a router that has a relay.
constexpr duration status_interval = std::chrono::seconds{1};
constexpr int relayed_status_factor = 2;

// A voter sends two notices a second, and one every two seconds to a router
// that has a relay. A link without input for several of these intervals is
// reconnected.
constexpr duration voter_timeout = std::chrono::milliseconds{2500};
constexpr duration relayed_voter_timeout = std::chrono::seconds{5};

// A voter that was not heard within the interval of two notices may not get
// what is sent to it.
constexpr duration voter_reach_limit = std::chrono::milliseconds{1200};
constexpr duration relayed_voter_reach_limit = std::chrono::milliseconds{4200};

constexpr duration connect_timeout = std::chrono::seconds{1};
constexpr duration redial_interval = std::chrono::milliseconds{400};

// A router that has heard no leader for this long reads the backend list
// itself. Two notices may be lost or late.
constexpr duration leader_silence_limit = std::chrono::milliseconds{1500};

// Shortest interval between reads of the backend list by one leaderless router.
constexpr duration min_leaderless_read_interval = std::chrono::seconds{1};

// Share of the permitted call rate that all leaderless routers use together.
// The rest is for the leader and for new routers.
constexpr double leaderless_rate_share = 0.5;

// Router count that is assumed until a voter reports one.
constexpr std::uint32_t default_router_count = 32;

// Interval at which a router without a relay reports its load. It grows with
// the fleet to limit the load on the leader; at 20 routers it is the shortest
// one.
duration direct_load_interval(std::uint32_t routers)
{
    constexpr duration per_router = std::chrono::milliseconds{10};
    return std::max(shortest_load_interval, per_router * routers);
}

// Notices older than this are ignored for the router count.
constexpr duration router_count_expiry = std::chrono::seconds{6};

} // namespace

fleet_follower::fleet_follower(
    event_loop& loop, const fleet_settings& settings,
    const backend_list_format& list_format, fleet_observer& observer)
    : loop_{loop}
    , self_{instance_at(settings.instance.host)}
    , failure_domain_{settings.instance.failure_domain}
    , port_{settings.peers.port}
    , list_calls_per_second_{settings.backend_list.calls_per_second}
    , observer_{observer}
    , random_{random_seed()}
    , relay_{loop, self_, port_, *this}
    , load_codec_{backends_}
    , stream_store_{
          loop,
          [this](const wire::streams_sent_msg& streams)
          { return send_to_voters(make_payload(streams)) > 0; },
          [this](const wire::streams_sent_msg& streams)
          { observer_.on_streams_inherited(streams); }}
    , relay_service_{loop, settings, backends_, load_codec_}
    , stream_backups_{
          loop, self_, port_, [this] { return observer_.open_streams(); }}
    , list_reader_{loop, list_format, settings.backend_list.address}
    , leader_heard_at_{loop.now()}
{
    relay_service_.set_stream_backups(stream_store_);
    set_seeds(settings.peers.seeds);
}

fleet_follower::~fleet_follower()
{
    loop_.cancel(timer_);
    loop_.cancel(load_timer_);
}

absl::Status fleet_follower::start()
{
    if (absl::Status status = relay_service_.open(); !status.ok())
    {
        return status;
    }
    observer_.on_router_count(default_router_count);
    tick();
    // Spreads the reports of routers that start together.
    load_timer_ = loop_.after(
        random_duration(random_, shortest_load_interval),
        [this] { report_loads(); });
    return absl::OkStatus();
}

// nullptr when no leader is linked.
link_connection* fleet_follower::leader_link()
{
    const auto found = voters_.find(leader_);
    return found != voters_.end() && found->second.link &&
                   found->second.link->is_ready()
               ? found->second.link.get()
               : nullptr;
}

// The relay or the leader that receives this router's load reports; nullptr
// when there is none.
link_connection* fleet_follower::load_receiver()
{
    if (link_connection* relay = relay_.serving_link())
    {
        return relay;
    }
    return leader_link();
}

bool fleet_follower::send_to_leader(const wire::payloadUnion& payload)
{
    link_connection* leader = leader_link();
    if (leader == nullptr || leader_silence() > leader_silence_limit)
    {
        return false;
    }
    leader->send(payload);
    return true;
}

// Reports the load of this router and, if it is a relay, of its group. The
// interval is longer when the leader has to handle routers without relays.
void fleet_follower::report_loads()
{
    const bool uses_relay_tree = uses_relay() || is_relay();
    load_timer_ = loop_.after(
        uses_relay_tree ? shortest_load_interval
                        : direct_load_interval(routers_),
        [this] { report_loads(); });
    link_connection* receiver = load_receiver();
    if (receiver == nullptr)
    {
        return;
    }
    if (auto report = load_codec_.encode(
            relay_service_.sum_loads(observer_.report_loads())))
    {
        receiver->send(make_payload(*std::move(report)));
    }
}

void fleet_follower::on_loads(
    const link_connection& link, const wire::load_summary_msg& summary)
{
    if (relay_.owns(link))
    {
        // The relay passes on what the leader sent a moment ago.
        leader_heard_at_ = loop_.now();
    }
    if (const auto loads = load_codec_.decode(summary))
    {
        observer_.on_fleet_load(*loads);
    }
    relay_service_.on_fleet_load(summary);
}

void fleet_follower::set_seeds(std::span<const std::string> seeds)
{
    seeds_.clear();
    for (const std::string& seed : seeds)
    {
        const instance_id voter = instance_at(seed);
        seeds_.push_back(voter);
        voters_.try_emplace(voter);
    }
}

duration fleet_follower::leader_silence() const
{
    return loop_.now() - leader_heard_at_;
}

void fleet_follower::tick()
{
    timer_ = loop_.after(tick_interval, [this] { tick(); });
    const time_point now = loop_.now();
    if (relay_.check())
    {
        announce_state();
    }
    set_relay(assigned_relay_);
    const duration input_timeout =
        uses_relay() ? relayed_voter_timeout : voter_timeout;
    for (auto& [voter, item] : voters_)
    {
        const bool open = item.link && item.link->is_open();
        const bool hung =
            open && (item.link->is_ready()
                         ? now - item.link->last_input() > input_timeout
                         : now - item.dialled_at > connect_timeout);
        if (hung)
        {
            log(log_level::warning, subsystem::network,
                "voter_silent host={} connected={}", host_of(voter),
                item.link->is_ready());
            item.link->close();
        }
        if (!open || hung)
        {
            dial(voter, item);
        }
    }
    if (now >= next_status_)
    {
        next_status_ =
            now + status_interval * (uses_relay() ? relayed_status_factor : 1);
        announce_state();
        count_routers();
    }
    else if (now >= next_relay_status_)
    {
        next_relay_status_ = now + status_interval;
        if (link_connection* relay = relay_.serving_link())
        {
            relay->send(make_payload(status()));
        }
    }
    stream_backups_.check(reaches_voters());
    read_list_if_leaderless();
}

// Whether the majority of the voters was heard within the interval of two
// notices.
bool fleet_follower::reaches_voters() const
{
    const duration limit =
        uses_relay() ? relayed_voter_reach_limit : voter_reach_limit;
    const auto heard = std::ranges::count_if(
        named_voters_,
        [&](instance_id voter)
        {
            const auto found = voters_.find(voter);
            return found != voters_.end() && found->second.link &&
                   found->second.link->is_ready() &&
                   loop_.now() - found->second.link->last_input() <= limit;
        });
    return static_cast<std::size_t>(heard) * 2 > named_voters_.size();
}

void fleet_follower::send_streams(const wire::streams_sent_msg& streams)
{
    send_to_voters(make_payload(streams));
    stream_backups_.send(streams);
}

void fleet_follower::dial(instance_id voter, voter_link& item)
{
    const time_point now = loop_.now();
    if (now < item.next_dial)
    {
        return;
    }
    item.next_dial = now + redial_interval;
    item.dialled_at = now;
    if (item.link)
    {
        loop_.destroy_later(std::move(item.link));
    }
    item.link =
        link_connection::dial(loop_, {host_of(voter), port_}, self_, *this);
}

wire::router_status_msg fleet_follower::status() const
{
    wire::router_status_msg message;
    message.version = version_;
    message.backends_epoch = backends_.version().epoch;
    message.backends_sequence = backends_.version().sequence;
    message.failure_domain = failure_domain_;
    message.relay = is_relay() ? self_ : relay_.relay();
    message.avoided_relay = relay_.avoided();
    message.lost_services = observer_.lost_services();
    return message;
}

// Sends the versions that this router holds to all voters and to the relay, so
// that each sends only what is missing.
void fleet_follower::announce_state()
{
    const wire::payloadUnion message = make_payload(status());
    send_to_voters(message);
    if (link_connection* relay = relay_.serving_link())
    {
        relay->send(message);
    }
}

std::size_t fleet_follower::send_to_voters(const wire::payloadUnion& payload)
{
    std::size_t sent = 0;
    for (auto& [voter, item] : voters_)
    {
        if (item.link && item.link->is_ready())
        {
            item.link->send(payload);
            ++sent;
        }
    }
    return sent;
}

void fleet_follower::on_link_ready(link_connection& link)
{
    link.send(make_payload(status()));
    if (auto streams = observer_.open_streams())
    {
        link.send(make_payload(*std::move(streams)));
    }
}

void fleet_follower::set_relay(instance_id relay)
{
    if (assigned_relay_ != relay)
    {
        log(log_level::info, subsystem::membership,
            "relay_assigned host={} previous={}", host_of(relay),
            host_of(assigned_relay_));
        assigned_relay_ = relay;
    }
    relay_.use(is_relay() ? 0 : assigned_relay_);
    if (!relay_.is_serving())
    {
        relay_announced_ = false;
    }
}

void fleet_follower::on_message(
    link_connection& link, wire::envelope_msg message)
{
    if (const auto* notice =
            message_in<wire::voter_notice_msg>(message.payload))
    {
        on_notice(link, *notice);
    }
    else if (
        const auto* push = message_in<wire::routing_push_msg>(message.payload))
    {
        on_routing(link, *push);
    }
    else if (
        const auto* loads = message_in<wire::load_summary_msg>(message.payload))
    {
        on_loads(link, *loads);
    }
    else if (
        const auto* list = message_in<wire::backends_push_msg>(message.payload))
    {
        on_backends(link, *list);
    }
    else if (
        const auto* blame = message_in<wire::blame_report_msg>(message.payload))
    {
        observer_.on_blame(*blame);
    }
    else if (
        const auto* grant = message_in<wire::permit_grant_msg>(message.payload))
    {
        observer_.on_permit_grant(*grant);
    }
    else if (
        const auto* answer =
            message_in<wire::stream_answer_msg>(message.payload))
    {
        observer_.on_stream_answer(*answer);
    }
    if (relay_.owns(link) && !std::exchange(relay_announced_, true))
    {
        // From now on the voters leave this router to its relay.
        announce_state();
    }
}

void fleet_follower::on_link_end(link_connection& link)
{
    if (relay_.owns(link))
    {
        relay_.on_end();
        announce_state();
        return;
    }
    if (informed_leader_ == &link)
    {
        informed_leader_ = nullptr;
    }
    log(log_level::info, subsystem::network, "voter_lost host={}",
        host_of(link.peer()));
}

void fleet_follower::on_notice(
    link_connection& link, const wire::voter_notice_msg& notice)
{
    const auto found = voters_.find(link.peer());
    if (found != voters_.end())
    {
        found->second.routers = notice.routers;
        found->second.heard_at = loop_.now();
        // Budgets that all routers share must not wait: neither a router that
        // has just started, nor a fleet that has grown.
        if (is_router_count_assumed_ || notice.routers > routers_)
        {
            count_routers();
        }
    }
    committed_version_ = std::max(committed_version_, notice.version);
    if (notice.leads)
    {
        leader_heard_at_ = loop_.now();
        leader_ = link.peer();
        update_voters(notice.voters);
        named_voters_ = notice.voters;
        stream_backups_.set_candidates(notice.tunnel_hosts);
        set_relay(notice.relay);
        observer_.on_tunnel_hosts(notice.tunnel_hosts);
        report_all_blame(link);
    }
    else if (leader_ == 0 || leader_silence() > leader_silence_limit)
    {
        // The leader may be a voter without a link to this router, in
        // particular after a start: the seeds are only some of the voters.
        link_to(notice.voters);
    }
}

// Sends all crashes that this router has seen to a new leader, which does not
// know them.
void fleet_follower::report_all_blame(link_connection& leader)
{
    if (std::exchange(informed_leader_, &leader) == &leader)
    {
        return;
    }
    if (auto report = observer_.all_blame())
    {
        leader.send(make_payload(*std::move(report)));
    }
}

// Reports go to the leader directly, because a relay would delay them by its
// interval.
void fleet_follower::report_blame()
{
    const auto leader = voters_.find(leader_);
    if (leader == voters_.end() || !leader->second.link ||
        leader->second.link.get() != informed_leader_)
    {
        // The next leader gets the full report.
        return;
    }
    if (auto report = observer_.take_blame())
    {
        leader->second.link->send(make_payload(*std::move(report)));
    }
}

// Connects to the voters that have no link yet.
void fleet_follower::link_to(std::span<const instance_id> voters)
{
    for (const instance_id voter : voters)
    {
        const auto [item, is_new] = voters_.try_emplace(voter);
        if (is_new)
        {
            dial(voter, item->second);
        }
    }
}

// Links to the voters that the leader names. Seeds are kept too, so that a
// router that was partitioned can reconnect.
void fleet_follower::update_voters(std::span<const instance_id> voters)
{
    link_to(voters);
    for (auto item = voters_.begin(); item != voters_.end();)
    {
        const auto named = [&](std::span<const instance_id> list)
        { return std::ranges::find(list, item->first) != list.end(); };
        if (named(voters) || named(seeds_))
        {
            ++item;
            continue;
        }
        if (item->second.link)
        {
            item->second.link->close();
            loop_.destroy_later(std::move(item->second.link));
        }
        item = voters_.erase(item);
    }
}

void fleet_follower::on_routing(
    link_connection& link, const wire::routing_push_msg& push)
{
    if (push.version <= version_)
    {
        return;
    }
    if (push.version < committed_version_ && relay_.owns(link))
    {
        // The relay is partitioned from the voters. A router that has just
        // started must not apply a configuration that is no longer in force.
        log(log_level::info, subsystem::configuration,
            "relay_is_behind host={} version={} committed={}",
            host_of(link.peer()), push.version, committed_version_);
        return;
    }
    if (push.base_version != 0 && push.base_version != version_)
    {
        // Another voter was faster; the status tells this one which version
        // this router holds.
        announce_state();
        return;
    }
    auto document = decompress(
        push.document, max_configuration_document_bytes,
        push.base_version == 0 ? std::string_view{} : document_);
    if (!document.ok())
    {
        log(log_level::error, subsystem::configuration,
            "configuration_damaged version={} base={} from={} error=\"{}\"",
            push.version, push.base_version, host_of(link.peer()),
            message_of(document.status()));
        // A new link starts from the version that this router holds.
        link.close();
        return;
    }
    if (!observer_.on_configuration(push.version, *document))
    {
        return;
    }
    log(log_level::info, subsystem::configuration,
        "configuration_applied version={} previous={} from={} bytes={} "
        "transferred={}",
        push.version, version_, host_of(link.peer()), document->size(),
        push.document.size());
    version_ = push.version;
    document_ = *std::move(document);
    relay_service_.on_configuration({version_, document_});
    announce_state();
}

void fleet_follower::on_backends(
    link_connection& link, const wire::backends_push_msg& push)
{
    const backend_list_version offered{push.epoch, push.sequence};
    const backend_list_version base{push.base_epoch, push.base_sequence};
    const backend_list_version held = backends_.version();
    if (backends_.apply(push))
    {
        log(log_level::info, subsystem::routing,
            "backend_list_applied epoch={} sequence={} from={} transferred={}",
            push.epoch, push.sequence, host_of(link.peer()),
            push.changes.size());
        observer_.on_backend_list(backends_.list());
        relay_service_.on_backend_list();
        announce_state();
    }
    else if (offered > held && (base == held || base.epoch == 0))
    {
        // The change is damaged. A new link starts from the version that this
        // router holds.
        link.close();
    }
    else if (offered > held)
    {
        // Another voter was faster; the status tells this one which version
        // this router holds.
        announce_state();
    }
}

void fleet_follower::count_routers()
{
    std::uint32_t routers = 0;
    for (const auto& [voter, item] : voters_)
    {
        if (loop_.now() - item.heard_at <= router_count_expiry)
        {
            routers = std::max(routers, item.routers);
        }
    }
    is_router_count_assumed_ =
        routers == 0 && (is_router_count_assumed_ || routers_ == 0);
    if (routers == 0)
    {
        routers = routers_ == 0 ? default_router_count : routers_;
    }
    if (routers != routers_)
    {
        log(log_level::info, subsystem::membership,
            "router_count_changed routers={} previous={}", routers, routers_);
        routers_ = routers;
        observer_.on_router_count(routers);
    }
}

// Interval between calls by this router that keeps all leaderless routers
// together within their share of the permitted call rate.
duration fleet_follower::leaderless_call_interval() const
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        std::max(routers_, 1U) /
        (list_calls_per_second_ * leaderless_rate_share)});
}

duration fleet_follower::leaderless_read_interval() const
{
    return std::max(
        min_leaderless_read_interval,
        leaderless_call_interval() *
            static_cast<duration::rep>(list_reader_.pages()));
}

// Routers that lose their leader at the same time must not read the list at the
// same time: the first read is spread over the whole interval, later ones over
// an additional quarter. Otherwise a large fleet uses up the permitted calls
// for seconds, including those of the next leader, whose single read serves all
// routers.
void fleet_follower::read_list_if_leaderless()
{
    const time_point now = loop_.now();
    if (leader_silence() <= leader_silence_limit)
    {
        is_leaderless_ = false;
        list_reader_.cancel();
        return;
    }
    const duration interval = leaderless_read_interval();
    if (!std::exchange(is_leaderless_, true))
    {
        next_leaderless_read_ =
            std::max(next_leaderless_read_, now) +
            random_duration(random_, interval - min_leaderless_read_interval);
    }
    if (now < next_leaderless_read_)
    {
        return;
    }
    next_leaderless_read_ =
        now + interval + random_duration(random_, interval / 4);
    list_reader_.read(
        leaderless_call_interval(),
        [this](absl::StatusOr<std::vector<listed_backend>> list)
        {
            if (!list.ok())
            {
                log(log_level::warning, subsystem::routing,
                    "backend_list_not_read leader_silent_ms={} error=\"{}\"",
                    leader_silence() / std::chrono::milliseconds{1},
                    message_of(list.status()));
                return;
            }
            log(log_level::info, subsystem::routing,
                "backend_list_read_alone size={} leader_silent_ms={}",
                list->size(), leader_silence() / std::chrono::milliseconds{1});
            backends_.replace(*list);
            relay_service_.on_backend_list();
            observer_.on_backend_list(backends_.list());
        });
}

} // namespace hickorygap
