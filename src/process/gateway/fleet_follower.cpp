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

// Turn in which links and reads of the list are looked after.
constexpr duration tick_interval = std::chrono::milliseconds{250};

// Voters count on hearing a router this often.
constexpr duration status_interval = std::chrono::seconds{1};

// A voter sends two notices a second. A link that is silent for longer than
// some of them is dialled anew.
constexpr duration voter_silence = std::chrono::milliseconds{2500};

constexpr duration dial_limit = std::chrono::seconds{1};
constexpr duration redial_pause = std::chrono::milliseconds{400};

// Without a leader's word for so long, the router reads the list of backend
// servers itself. Two notices may be lost or late.
constexpr duration leader_silence_limit = std::chrono::milliseconds{1500};

// Shortest interval between reads of the list by a router alone.
constexpr duration shortest_lone_read = std::chrono::seconds{1};

// Share of the permitted rate of calls that lone routers use together; the
// rest is for the leader and for the addition of routers.
constexpr double lone_rate_share = 0.5;

// Routers assumed while no voter has told their number.
constexpr std::uint32_t assumed_routers = 32;

// Notices older than this don't count for the number of routers.
constexpr duration count_expiry = std::chrono::seconds{6};

} // namespace

fleet_follower::fleet_follower(
    event_loop& loop, const fleet_settings& settings,
    const backend_list_format& list_format, fleet_observer& observer)
    : loop_{loop}
    , self_{instance_at(settings.instance.host)}
    , port_{settings.peers.port}
    , list_calls_per_second_{settings.backend_list.calls_per_second}
    , observer_{observer}
    , random_{random_seed()}
    , list_reader_{loop, list_format, settings.backend_list.address}
    , leader_heard_at_{loop.now()}
{
    set_seeds(settings.peers.seeds);
}

fleet_follower::~fleet_follower()
{
    loop_.cancel(timer_);
    loop_.cancel(load_timer_);
}

void fleet_follower::start()
{
    observer_.on_router_count(assumed_routers);
    tick();
    // Routers that start together don't go on reporting together.
    load_timer_ = loop_.after(
        random_duration(random_, load_interval(routers_)),
        [this] { report_loads(); });
}

// Tells the leader where this router's requests are, more often the fewer
// routers there are.
void fleet_follower::report_loads()
{
    load_timer_ =
        loop_.after(load_interval(routers_), [this] { report_loads(); });
    const auto found = voters_.find(leader_);
    if (found == voters_.end() || !found->second.link ||
        !found->second.link->is_ready())
    {
        return;
    }
    found->second.link->send(make_payload(
        to_message<wire::load_report_msg>(observer_.report_loads())));
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
    for (auto& [voter, item] : voters_)
    {
        const bool open = item.link && item.link->is_open();
        const bool hung =
            open && (item.link->is_ready()
                         ? now - item.link->last_input() > voter_silence
                         : now - item.dialled_at > dial_limit);
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
        next_status_ = now + status_interval;
        announce_state();
        count_routers();
    }
    read_list_when_alone();
}

void fleet_follower::dial(instance_id voter, voter_link& item)
{
    const time_point now = loop_.now();
    if (now < item.next_dial)
    {
        return;
    }
    item.next_dial = now + redial_pause;
    item.dialled_at = now;
    if (item.link)
    {
        loop_.destroy_later(std::move(item.link));
    }
    item.link =
        link_connection::dial(loop_, {host_of(voter), port_}, self_, *this);
}

void fleet_follower::send_status(voter_link& item)
{
    wire::router_status_msg status;
    status.version = version_;
    status.backends_epoch = backends_.version().epoch;
    status.backends_sequence = backends_.version().sequence;
    item.link->send(make_payload(status));
}

// Tells all voters what this router holds, so that each sends only what is
// missing.
void fleet_follower::announce_state()
{
    for (auto& [voter, item] : voters_)
    {
        if (item.link && item.link->is_ready())
        {
            send_status(item);
        }
    }
}

void fleet_follower::on_link_ready(link_connection& link)
{
    for (auto& [voter, item] : voters_)
    {
        if (item.link.get() == &link)
        {
            send_status(item);
        }
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
        observer_.on_fleet_load(to_loads(loads->backends, loads->in_flight));
    }
    else if (
        const auto* list = message_in<wire::backends_push_msg>(message.payload))
    {
        on_backends(link, *list);
    }
}

void fleet_follower::on_link_end(link_connection& link)
{
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
    }
    if (notice.leads)
    {
        leader_heard_at_ = loop_.now();
        leader_ = link.peer();
        update_voters(notice.voters);
    }
    else if (leader_silence() > leader_silence_limit)
    {
        // The leader may be a voter that this router has no link to.
        for (const instance_id voter : notice.voters)
        {
            voters_.try_emplace(voter);
        }
    }
}

// Links to the voters that the leader names; seeds are kept too, so that a
// router that was cut off finds its way back.
void fleet_follower::update_voters(std::span<const instance_id> voters)
{
    for (const instance_id voter : voters)
    {
        voters_.try_emplace(voter);
    }
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
    if (push.base_version != 0 && push.base_version != version_)
    {
        // Another voter was faster; the status tells this one what is held.
        announce_state();
        return;
    }
    auto document = decompress(
        push.document, max_configuration_document,
        push.base_version == 0 ? std::string_view{} : document_);
    if (!document.ok())
    {
        log(log_level::error, subsystem::configuration,
            "configuration_damaged version={} base={} from={} error=\"{}\"",
            push.version, push.base_version, host_of(link.peer()),
            message_of(document.status()));
        // A new link starts from what is held here.
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
        announce_state();
    }
    else if (offered > held && (base == held || base.epoch == 0))
    {
        // Damaged. A new link starts from what is held here.
        link.close();
    }
    else if (offered > held)
    {
        // Another voter was faster; the status tells this one what is held.
        announce_state();
    }
}

void fleet_follower::count_routers()
{
    std::uint32_t routers = 0;
    for (const auto& [voter, item] : voters_)
    {
        if (loop_.now() - item.heard_at <= count_expiry)
        {
            routers = std::max(routers, item.routers);
        }
    }
    if (routers == 0)
    {
        routers = routers_ == 0 ? assumed_routers : routers_;
    }
    if (routers != routers_)
    {
        log(log_level::info, subsystem::membership,
            "router_count_changed routers={} previous={}", routers, routers_);
        routers_ = routers;
        observer_.on_router_count(routers);
    }
}

// Interval between the calls of one router that keeps all of them together
// within their share of the permitted rate.
duration fleet_follower::lone_call_interval() const
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        std::max(routers_, 1U) / (list_calls_per_second_ * lone_rate_share)});
}

duration fleet_follower::lone_read_interval() const
{
    return std::max(
        shortest_lone_read, lone_call_interval() * static_cast<duration::rep>(
                                                       list_reader_.pages()));
}

// Routers that lost their leader at the same time don't read at the same time:
// the first read is spread over the interval and the later ones over a quarter
// more. Otherwise a large fleet uses up the permitted calls for seconds, also
// those of the next leader, whose single read serves all.
void fleet_follower::read_list_when_alone()
{
    const time_point now = loop_.now();
    if (leader_silence() <= leader_silence_limit)
    {
        is_alone_ = false;
        list_reader_.cancel();
        return;
    }
    const duration interval = lone_read_interval();
    if (!std::exchange(is_alone_, true))
    {
        next_lone_read_ =
            std::max(next_lone_read_, now) +
            random_duration(random_, interval - shortest_lone_read);
    }
    if (now < next_lone_read_)
    {
        return;
    }
    next_lone_read_ = now + interval + random_duration(random_, interval / 4);
    list_reader_.read(
        lone_call_interval(),
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
            observer_.on_backend_list(*list);
        });
}

} // namespace hickorygap
