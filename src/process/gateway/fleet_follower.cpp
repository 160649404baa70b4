#include "process/gateway/fleet_follower.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "process/fleet_process/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Turn in which links and pulls are looked after.
constexpr duration tick_interval = std::chrono::milliseconds{250};

// Voters count on hearing a router this often.
constexpr duration status_interval = std::chrono::seconds{1};

// A voter sends a notice each second. A link that is silent for longer than
// two of them is dialled anew.
constexpr duration voter_silence = std::chrono::milliseconds{2500};

constexpr duration dial_limit = std::chrono::seconds{1};
constexpr duration redial_pause = std::chrono::milliseconds{400};

// A configuration that has not arrived by then is asked of another voter.
// Covers the transfer of a large document over a voter's narrow link.
constexpr duration pull_limit = std::chrono::milliseconds{600};

// Without a leader's word for so long, the router reads the list of backend
// servers itself. A notice may be one interval old and late.
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

// Uniform between zero and the longest, both included.
duration random_duration(random_engine& random, duration longest)
{
    return duration{static_cast<duration::rep>(
        random_below(random, static_cast<std::uint64_t>(longest.count()) + 1))};
}

// Time over which the routers spread their pulls of a configuration; none in a
// small fleet.
duration pull_spread(std::uint32_t routers)
{
    return load_interval(routers) - load_interval(0);
}

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
    loop_.cancel(pull_timer_);
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
    const bool status_due = now >= next_status_;
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
        else if (status_due && item.link->is_ready())
        {
            send_status(item);
        }
    }
    if (status_due)
    {
        next_status_ = now + status_interval;
        count_routers();
    }
    pull_configuration();
    pull_backends();
    if (leader_silence() > leader_silence_limit && now >= next_lone_read_)
    {
        read_list_alone();
    }
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

// Tells all voters what this router holds, so that they don't send what was
// asked of several of them.
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
        found->second.version = notice.version;
        found->second.backends = {
            notice.backends_epoch, notice.backends_sequence};
        found->second.routers = notice.routers;
        found->second.heard_at = loop_.now();
    }
    if (notice.leads)
    {
        leader_heard_at_ = loop_.now();
        leader_ = link.peer();
        update_voters(notice.voters);
    }
    pull_configuration();
    pull_backends();
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

// A voter drawn among those that hold what is wanted, so that the routers'
// pulls are spread; another one than the last one where there is a choice, and
// not the leader, whose link also carries the group's heartbeats.
fleet_follower::voter_link* fleet_follower::draw_holder(
    instance_id last, const std::function<bool(const voter_link&)>& holds)
{
    std::vector<voter_link*> holders;
    voter_link* otherwise = nullptr;
    for (auto& [voter, item] : voters_)
    {
        if (!item.link || !item.link->is_ready() || !holds(item))
        {
            continue;
        }
        if (voter == last || voter == leader_)
        {
            otherwise = &item;
        }
        else
        {
            holders.push_back(&item);
        }
    }
    if (holders.empty())
    {
        return otherwise;
    }
    return holders[random_below(random_, holders.size())];
}

void fleet_follower::pull_configuration()
{
    configuration_version newest = version_;
    for (const auto& [voter, item] : voters_)
    {
        newest = std::max(newest, item.version);
    }
    const time_point now = loop_.now();
    if (newest == version_)
    {
        return;
    }
    if (newest > announced_version_)
    {
        announced_version_ = newest;
        // In a large fleet the pulls are spread over time, because documents
        // for all routers at once would fill the voters' links and hold up the
        // heartbeats of the group.
        pull_after_ = std::max(
            pull_after_, now + random_duration(random_, pull_spread(routers_)));
    }
    if (now < pull_after_)
    {
        loop_.cancel(pull_timer_);
        pull_timer_ =
            loop_.after(pull_after_ - now, [this] { pull_configuration(); });
        return;
    }
    // A pull that is under way is waited for.
    if (pulled_version_ > version_ && now - pulled_at_ < pull_limit)
    {
        return;
    }
    voter_link* chosen = draw_holder(
        pulled_version_ > version_ ? pulled_from_ : 0,
        [newest](const voter_link& item) { return item.version == newest; });
    if (chosen == nullptr)
    {
        return;
    }
    pulled_version_ = newest;
    pulled_at_ = now;
    // Versions in quick succession keep the same pause.
    pull_after_ = now + pull_spread(routers_);
    pulled_from_ = chosen->link->peer();
    wire::routing_pull_msg pull;
    pull.version = version_;
    chosen->link->send(make_payload(pull));
}

void fleet_follower::pull_backends()
{
    backend_list_version newest = backends_.version();
    for (const auto& [voter, item] : voters_)
    {
        newest = std::max(newest, item.backends);
    }
    const time_point now = loop_.now();
    if (newest == backends_.version() || newest.sequence == 0 ||
        now - backends_pulled_at_ < pull_limit)
    {
        return;
    }
    voter_link* chosen = draw_holder(
        backends_pulled_from_,
        [newest](const voter_link& item) { return item.backends == newest; });
    if (chosen == nullptr)
    {
        return;
    }
    backends_pulled_at_ = now;
    backends_pulled_from_ = chosen->link->peer();
    wire::backends_pull_msg pull;
    pull.epoch = backends_.version().epoch;
    pull.sequence = backends_.version().sequence;
    chosen->link->send(make_payload(pull));
}

void fleet_follower::on_routing(
    link_connection& link, const wire::routing_push_msg& push)
{
    if (push.version <= version_)
    {
        return;
    }
    if (!observer_.on_configuration(push.version, push.document))
    {
        // Not asked of this voter again before the limit has passed.
        pulled_from_ = link.peer();
        return;
    }
    log(log_level::info, subsystem::configuration,
        "configuration_applied version={} previous={} from={}", push.version,
        version_, host_of(link.peer()));
    version_ = push.version;
    announce_state();
}

void fleet_follower::on_backends(
    link_connection& link, const wire::backends_push_msg& push)
{
    if (backends_.apply(push))
    {
        log(log_level::info, subsystem::routing,
            "backend_list_applied epoch={} sequence={} from={}", push.epoch,
            push.sequence, host_of(link.peer()));
        leader_heard_at_ = loop_.now();
        observer_.on_backend_list(backends_.list());
        if (!push.complete.empty())
        {
            announce_state();
        }
    }
    else if (const auto sender = voters_.find(link.peer());
             sender != voters_.end())
    {
        // The sender holds this version; the whole list is pulled from it or
        // from another voter.
        sender->second.backends = {push.epoch, push.sequence};
        pull_backends();
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

duration fleet_follower::lone_read_interval() const
{
    const double routers = std::max(routers_, 1U);
    const double seconds = routers * static_cast<double>(list_reader_.pages()) /
                           (list_calls_per_second_ * lone_rate_share);
    return std::max(
        shortest_lone_read, std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>{seconds}));
}

void fleet_follower::read_list_alone()
{
    // Spread over a quarter more, so that routers that lost their leader at
    // the same time don't go on reading at the same time.
    const duration interval = lone_read_interval();
    next_lone_read_ =
        loop_.now() + interval + random_duration(random_, interval / 4);
    list_reader_.read(
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
