#include "process/voter_node/router_feed.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "process/fleet_process/limit_messages.hpp"
#include "process/fleet_process/tunnel_hosts.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Interval of the notices to routers. Routers rely on it to detect the loss of
// a leader within 1.5 s and of another voter within 2.5 s.
constexpr duration notice_interval = std::chrono::milliseconds{500};

// Minimum interval at which the leader reads the list of backend servers. A
// server that leaves may get new requests for up to 3 s after the list shows
// it.
constexpr duration shortest_list_interval = std::chrono::seconds{1};

// Time after the end of an evacuation from which on the list shows which of the
// servers are cold; it lags by less than a second.
constexpr duration reopening_delay = std::chrono::seconds{1};

// Share of the permitted rate of list calls that the leader uses. Routers read
// the list only while they hear from no leader. At half of the rate, reading a
// list of 3,000 servers takes longer than a leaving server may get new
// requests.
constexpr double leader_rate_share = 0.8;

// Routers with a relay hear from the relay several times per second. They get
// only every second notice of the leader and every fourth of the other
// voters.
constexpr std::uint64_t leader_notices_per_round = 2;
constexpr std::uint64_t other_notices_per_round = 4;

// Delay before relays are planned for a new router, so that routers that
// connect at the same time are planned for together.
constexpr duration relay_plan_delay = std::chrono::milliseconds{40};

// Interval at which the report on requests that crash backend servers is
// sent again, because messages to a router whose link is congested are dropped.
constexpr duration blame_interval = std::chrono::seconds{5};

// The same for some time after a change.
constexpr duration changed_blame_interval = std::chrono::seconds{1};
constexpr duration blame_settling_time = std::chrono::seconds{10};

// Time that a relay has to deliver a version before the voters send it.
constexpr duration relay_delivery_timeout = std::chrono::milliseconds{500};

} // namespace

router_feed::router_feed(
    event_loop& loop, peer_links& links, const fleet_settings& settings,
    const backend_list_format& list_format,
    const configuration_format& configurations)
    : loop_{loop}
    , links_{links}
    , self_{instance_at(settings.instance.host)}
    , link_megabits_per_second_{settings.peers.link_megabits_per_second}
    , list_calls_per_second_{settings.backend_list.calls_per_second}
    , list_reader_{loop, list_format, settings.backend_list.address}
    , configurations_{configurations}
    , documents_{loop, links, self_, settings.peers.link_megabits_per_second, backends_}
    , stream_journal_{settings.storage.folder}
    , blame_broadcast_{loop, links, settings.peers.link_megabits_per_second}
    , limit_broadcast_{loop, links, settings.peers.link_megabits_per_second}
    , random_{random_seed()}
{
}

void router_feed::start(const routing_voter& voter)
{
    voter_ = &voter;
    load_streams();
    summarize_loads();
}

void router_feed::tick()
{
    if (voter_->raft().is_leader() && loop_.now() >= next_list_read_)
    {
        next_list_read_ = loop_.now() + list_interval();
        read_backend_list();
    }
    if (loop_.now() >= next_notice_)
    {
        send_notices();
    }
    if (voter_->raft().is_leader() && loop_.now() >= next_blame_)
    {
        send_blame();
        permit_trials();
    }
    check_journal();
}

bool router_feed::receive(
    instance_id from, const wire::payloadUnion& payload, link_connection& link)
{
    if (const auto* status = message_in<wire::router_status_msg>(payload))
    {
        on_status(from, *status, link);
    }
    else if (const auto* report = message_in<wire::load_report_msg>(payload))
    {
        if (auto loads = load_codec_.decode(*report))
        {
            loads_.set(from, *std::move(loads), loop_.now());
        }
    }
    else if (const auto* push = message_in<wire::backends_push_msg>(payload))
    {
        on_backends_push(from, *push);
    }
    else if (const auto* pull = message_in<wire::backends_pull_msg>(payload))
    {
        if (auto changes =
                backends_.changes_since({pull->epoch, pull->sequence}))
        {
            links_.send(from, make_payload(*std::move(changes)));
        }
    }
    else if (const auto* blame = message_in<wire::blame_report_msg>(payload))
    {
        if (blame_.receive(*blame, loop_.now()))
        {
            blame_changed_at_ = loop_.now();
            schedule_blame_news();
        }
    }
    else if (
        const auto* request = message_in<wire::permit_request_msg>(payload))
    {
        on_permit_request(*request, link);
    }
    else if (const auto* sent = message_in<wire::streams_sent_msg>(payload))
    {
        on_streams_sent(*sent);
    }
    else if (const auto* query = message_in<wire::stream_query_msg>(payload))
    {
        wire::stream_answer_msg answer;
        answer.number = query->number;
        answer.version = streams_.find(query->stream, loop_.now()).value_or(0);
        link.send(make_payload(answer));
    }
    else
    {
        return false;
    }
    return true;
}

void router_feed::update_metrics(metrics_registry& metrics) const
{
    metrics
        .find_gauge(
            "limited_backend_servers", "servers",
            "Backend servers whose limits this leader distributes.")
        .set(static_cast<double>(limits_.size()));
    metrics.find_gauge("live", "routers", "Routers that reported lately.")
        .set(links_.routers());
    metrics
        .find_gauge(
            "waiting", "transfers",
            "Documents for routers that wait for the limited rate.")
        .set(static_cast<double>(documents_.waiting()));
    metrics
        .find_gauge(
            "backend_list", "sequence",
            "Version of the list of backend servers within its epoch.")
        .set(static_cast<double>(backends_.version().sequence));
}

// Notices.

// The notice for routers of a failure domain that use this relay.
wire::payloadUnion
router_feed::make_notice(instance_id relay, const std::string& failure_domain)
{
    wire::voter_notice_msg message;
    message.leads = voter_->raft().holds_lease(loop_.now());
    if (const voter_list* list = voter_->raft().configuration())
    {
        message.voters = list->instances();
    }
    message.routers = links_.routers();
    message.version = voter_->current().version;
    message.relay = relay;
    std::vector<tunnel_host> hosts;
    for (const auto& [router, state] : links_.live_routers())
    {
        hosts.push_back(
            {router, state->failure_domain, state->has_lost_services});
    }
    message.tunnel_hosts = choose_tunnel_hosts(hosts, failure_domain, random_);
    return make_payload(std::move(message));
}

// Sends a notice to all routers, or only to those that don't use a relay
// or whose relay changes.
void router_feed::send_notices()
{
    next_notice_ = loop_.now() + notice_interval;
    plan_relays();
    const std::uint64_t notices_per_round = voter_->raft().is_leader()
                                                ? leader_notices_per_round
                                                : other_notices_per_round;
    const bool to_all = notice_count_++ % notices_per_round == 0;
    std::map<std::pair<instance_id, std::string>, std::string> frames;
    links_.send_to_routers(
        [&](instance_id router, const linked_router& state) -> std::string_view
        {
            const instance_id relay = planner_.relay_of(router);
            if (!to_all && state.uses_relay(router) && state.relay == relay)
            {
                return {};
            }
            std::string& frame = frames[{relay, state.failure_domain}];
            if (frame.empty())
            {
                frame = links_.encode(make_notice(relay, state.failure_domain));
            }
            return frame;
        });
}

void router_feed::plan_relays()
{
    std::vector<planned_router> routers;
    for (const auto& [router, state] : links_.live_routers())
    {
        routers.push_back(
            {router, state->failure_domain, state->relay, state->avoided_relay,
             state->since});
    }
    planner_.update(routers, loop_.now());
}

// Plans relays after a short delay, so that routers that connect at the same
// time, such as after a power failure, are planned for together. Routers that a
// relay can supply then don't use the voters' links.
void router_feed::schedule_relay_plan()
{
    if (relay_plan_timer_ == 0)
    {
        relay_plan_timer_ = loop_.after(
            relay_plan_delay,
            [this]
            {
                relay_plan_timer_ = 0;
                send_notices();
                for (const auto& [router, state] : links_.live_routers())
                {
                    if (!is_served_by_relay(router))
                    {
                        documents_.supply(router);
                    }
                }
            });
    }
}

void router_feed::on_leadership_change()
{
    next_list_read_ = loop_.now();
    // The routers tell a new leader the limits that they know.
    limits_ = rate_limit_allocator{voter_->raft().term()};
    cold_rates_version_ = 0;
    // What is closed is known from the list that the leader before published.
    closed_domains_.clear();
    for (const listed_backend& backend : backends_.list())
    {
        if (backend.evacuated)
        {
            closed_domains_.insert(backend.failure_domain);
        }
    }
    reopening_domains_.clear();
    read_list_.reset();
    if (backends_.version() != backend_list_version{})
    {
        read_list_ = backends_.list();
    }
    // The next notice goes to all routers.
    notice_count_ = 0;
    send_notices();
}

// Documents.

// Whether another router relays documents to this one.
bool router_feed::is_served_by_relay(instance_id router) const
{
    const instance_id relay = planner_.relay_of(router);
    return relay != 0 && relay != router;
}

void router_feed::on_configuration()
{
    documents_.add_configuration(voter_->current());
    offer(transfer_kind::configuration);
}

void router_feed::on_new_backend_list()
{
    documents_.on_backend_list();
    offer(transfer_kind::backend_list);
}

void router_feed::on_status(
    instance_id from, const wire::router_status_msg& status,
    link_connection& link)
{
    const bool is_new = links_.mark_router(link);
    linked_router* router = links_.router_on(link);
    if (router == nullptr)
    {
        return;
    }
    const bool had_lost_services = router->has_lost_services;
    documents_.on_status(*router, status);
    if (router->has_lost_services && !had_lost_services)
    {
        // It needs routers that reach the services.
        link.send(make_notice(planner_.relay_of(from), status.failure_domain));
    }
    if (is_new)
    {
        link.send(make_notice(planner_.relay_of(from), status.failure_domain));
        if (auto report = blame_.router_report(loop_.now()))
        {
            link.send(make_payload(*std::move(report)));
        }
        if (limits_.size() > 0)
        {
            link.send(make_payload(encode_changes(limits_.changes_since(0))));
        }
        schedule_relay_plan();
        return;
    }
    const time_point relay_started =
        std::max(documents_changed_at_, router->since);
    if (!is_served_by_relay(from) ||
        loop_.now() - relay_started >= relay_delivery_timeout)
    {
        documents_.supply(from);
    }
}

void router_feed::offer(transfer_kind kind)
{
    documents_changed_at_ = loop_.now();
    offer_to(kind, false);
    loop_.after(relay_delivery_timeout, [this, kind] { offer_to(kind, true); });
}

// Offers the document either to the routers that are served by a relay or to
// all others. Each voter starts at a different router, so that the voters share
// the work.
void router_feed::offer_to(transfer_kind kind, bool through_relays)
{
    std::vector<instance_id> routers;
    for (const auto& [router, state] : links_.live_routers())
    {
        if (is_served_by_relay(router) == through_relays)
        {
            routers.push_back(router);
        }
    }
    if (const voter_list* list = voter_->raft().configuration();
        list != nullptr && !list->voters.empty())
    {
        const std::size_t first =
            routers.size() * list->rank_of(self_) / list->voters.size();
        std::rotate(
            routers.begin(),
            routers.begin() + static_cast<std::ptrdiff_t>(first),
            routers.end());
        documents_.offer(kind, routers);
    }
}

// The list of backend servers.

// Interval between reads of the list: a list of many pages is read as often as
// the permitted rate of calls allows.
duration router_feed::list_interval() const
{
    const std::chrono::duration<double> seconds{
        static_cast<double>(list_reader_.pages()) /
        (list_calls_per_second_ * leader_rate_share)};
    return std::max(
        shortest_list_interval, std::chrono::duration_cast<duration>(seconds));
}

void router_feed::read_backend_list()
{
    list_read_began_ = loop_.now();
    list_reader_.read(
        duration{0}, [this](absl::StatusOr<std::vector<listed_backend>> list)
        { on_backend_list(std::move(list)); });
}

void router_feed::on_backend_list(
    absl::StatusOr<std::vector<listed_backend>> list)
{
    if (list.ok() != list_is_readable_)
    {
        list_is_readable_ = list.ok();
        log(list.ok() ? log_level::info : log_level::warning,
            subsystem::routing, "backend_list_{} error=\"{}\"",
            list.ok() ? "regained" : "lost", message_of(list.status()));
    }
    if (!list.ok() || !voter_->raft().is_leader())
    {
        return;
    }
    read_list_ = *std::move(list);
    std::erase_if(
        reopening_domains_,
        [this](const auto& item) { return list_read_began_ >= item.second; });
    publish_list();
}

// A leader that has not applied all entries before its term may not know of an
// evacuation.
void router_feed::publish_list()
{
    if (!voter_->knows_state() || !read_list_)
    {
        return;
    }
    std::set<std::string> closed = voter_->evacuated();
    for (const auto& [domain, until] : reopening_domains_)
    {
        closed.insert(domain);
    }
    closed_domains_ = closed;
    std::vector<listed_backend> list = *read_list_;
    mark_evacuated(list, closed);
    keep_limits_of(list);
    const backend_list_version previous = backends_.version();
    const auto change = backends_.publish(voter_->raft().term(), list);
    if (!change)
    {
        return;
    }
    log(log_level::info, subsystem::routing,
        "backend_list_changed epoch={} sequence={} changed={} removed={} "
        "size={}",
        backends_.version().epoch, backends_.version().sequence,
        change->changed, change->removed, list.size());
    send_to_voters(*backends_.changes_since(previous));
    on_new_backend_list();
}

void router_feed::update_evacuation()
{
    if (!voter_->knows_state())
    {
        return;
    }
    const std::set<std::string>& evacuated = voter_->evacuated();
    for (const std::string& domain : evacuated)
    {
        reopening_domains_.erase(domain);
    }
    for (const std::string& domain : closed_domains_)
    {
        if (!evacuated.contains(domain) && !reopening_domains_.contains(domain))
        {
            reopening_domains_[domain] = loop_.now() + reopening_delay;
            log(log_level::info, subsystem::routing,
                "evacuation_ended failure_domain={}", domain);
        }
    }
    if (read_list_ && !std::ranges::includes(closed_domains_, evacuated))
    {
        log(log_level::info, subsystem::routing,
            "evacuation_changed failure_domains={}", evacuated.size());
        publish_list();
    }
}

// Reads the rates at which cold servers accept requests, if the configuration
// has changed since.
void router_feed::update_cold_rates()
{
    const filed_configuration& current = voter_->current();
    if (current.version == cold_rates_version_)
    {
        return;
    }
    cold_rates_version_ = current.version;
    const auto decoded = configurations_.decode(current.document);
    if (!decoded.ok())
    {
        return;
    }
    std::map<std::uint64_t, double> rates;
    for (const routed_service& service : (*decoded)->services())
    {
        if (service.cold_requests_per_second > 0)
        {
            rates[hash_name(service.name)] = service.cold_requests_per_second;
        }
    }
    limits_.set_cold_rates(std::move(rates));
}

void router_feed::keep_limits_of(std::span<const listed_backend> list)
{
    if (limits_.size() == 0)
    {
        return;
    }
    std::vector<listed_server> listed;
    for (const listed_backend& backend : list)
    {
        listed.push_back(
            {hash_name(backend.id), hash_name(backend.service),
             software_version_of(backend.service, backend.version),
             backend.leaving, backend.slots});
    }
    const std::uint64_t version = limits_.version();
    limits_.keep_listed(listed, loop_.now());
    if (limits_.version() != version)
    {
        schedule_limits();
    }
}

void router_feed::on_backends_push(
    instance_id from, const wire::backends_push_msg& push)
{
    const backend_list_version held = backends_.version();
    if (backends_.apply(push))
    {
        on_new_backend_list();
    }
    else if (backend_list_version{push.epoch, push.sequence} > held)
    {
        wire::backends_pull_msg pull;
        pull.epoch = held.epoch;
        pull.sequence = held.sequence;
        links_.send(from, make_payload(pull));
    }
}

// Sends the changes to one voter after another. The first list after a start is
// long, and sending it to all at once would delay the heartbeats to them.
void router_feed::send_to_voters(const wire::backends_push_msg& changes)
{
    const duration interval = voter_transfer_interval(
        changes.changes.size(), link_megabits_per_second_);
    duration wait{0};
    for (const voter_identity& voter : voter_->raft().configuration()->voters)
    {
        if (voter.instance == self_)
        {
            continue;
        }
        if (wait == duration{0})
        {
            links_.send(voter.instance, make_payload(changes));
        }
        else
        {
            loop_.after(
                wait, [this, to = voter.instance, changes]
                { links_.send(to, make_payload(changes)); });
        }
        wait += interval;
    }
}

void router_feed::schedule_blame_news()
{
    blame_broadcast_.schedule(
        [this]() -> std::optional<wire::payloadUnion>
        {
            auto report = blame_.take_router_news(loop_.now());
            if (!report)
            {
                return std::nullopt;
            }
            return make_payload(*std::move(report));
        });
}

void router_feed::send_blame()
{
    const bool changed_lately =
        loop_.now() - blame_changed_at_ < blame_settling_time;
    if (auto report = blame_.router_report(loop_.now()))
    {
        blame_broadcast_.send(make_payload(*std::move(report)));
    }
    next_blame_ = std::max(
        blame_broadcast_.link_free_at(),
        loop_.now() +
            (changed_lately ? changed_blame_interval : blame_interval));
}

// Limits of backend servers.

// Only a leader with a lease gives permits, so that two leaders never give them
// at the same time.
void router_feed::on_permit_request(
    const wire::permit_request_msg& request, link_connection& link)
{
    if (!voter_->raft().holds_lease(loop_.now()))
    {
        return;
    }
    update_cold_rates();
    const std::uint64_t version = limits_.version();
    const permit_answer answer =
        limits_.answer(decode_query(request), loop_.now());
    if (limits_.version() != version)
    {
        schedule_limits();
    }
    if (request.number == 0)
    {
        return;
    }
    wire::permit_grant_msg grant = encode_changes(answer.changes);
    grant.number = request.number;
    grant.backend = answer.backend.value_or(0);
    link.send(make_payload(std::move(grant)));
}

void router_feed::schedule_limits()
{
    limit_broadcast_.schedule(
        [this]() -> std::optional<wire::payloadUnion>
        {
            const limit_changes changes =
                limits_.changes_since(broadcast_limits_);
            if (changes.limits.empty())
            {
                // This voter has lost its leadership since. The version of its
                // empty table is the first one of another leader's term.
                return std::nullopt;
            }
            broadcast_limits_ = changes.version;
            return make_payload(encode_changes(changes));
        });
}

// Software versions of streams.

void router_feed::load_streams()
{
    const unix_millis now = unix_now();
    const auto records = stream_journal_.load(now);
    for (const recorded_stream& record : records)
    {
        streams_.add(
            record.stream, record.version,
            loop_.now() - std::chrono::milliseconds{now - record.recorded_at});
    }
    log(log_level::info, subsystem::routing, "streams_loaded streams={}",
        records.size());
}

void router_feed::on_streams_sent(const wire::streams_sent_msg& message)
{
    for (const wire::stream_version& item : message.streams)
    {
        if (streams_.find(item.stream(), loop_.now()) != item.version())
        {
            streams_.add(item.stream(), item.version(), loop_.now());
            stream_journal_.append({item.stream(), item.version(), unix_now()});
        }
    }
}

void router_feed::check_journal()
{
    const absl::Status status = stream_journal_.status();
    if (status.ok() != is_journal_writable_)
    {
        is_journal_writable_ = status.ok();
        log(status.ok() ? log_level::info : log_level::warning,
            subsystem::routing, "stream_journal_{} error=\"{}\"",
            status.ok() ? "regained" : "lost", message_of(status));
    }
}

// Permits one router to try quarantined parts of prompts again.
void router_feed::permit_trials()
{
    const auto routers = links_.live_routers();
    if (routers.empty())
    {
        return;
    }
    const auto permit = blame_.take_trials(loop_.now());
    if (!permit)
    {
        return;
    }
    const auto chosen =
        std::next(
            routers.begin(),
            static_cast<std::ptrdiff_t>(random_below(random_, routers.size())))
            ->first;
    const std::string frame = links_.encode(make_payload(*permit));
    links_.send_to_routers(
        [&](instance_id router, const linked_router& /*state*/)
        { return router == chosen ? frame : std::string_view{}; });
}

// As leader, periodically sends the sum of the loads on the backend servers to
// the routers that don't use a relay; relays pass it on to the others.
void router_feed::summarize_loads()
{
    loop_.after(load_interval_, [this] { summarize_loads(); });
    load_interval_ = shortest_load_interval;
    if (!voter_->raft().is_leader())
    {
        return;
    }
    loads_.keep_only(links_.connected());
    const std::vector<backend_load> fleet = loads_.take_sum(loop_.now());
    health_.add(fleet, loop_.now());
    limits_.on_loads(fleet, loop_.now());
    auto summary = load_codec_.encode(health_.conditions(fleet, loop_.now()));
    if (!summary)
    {
        return;
    }
    summary->leader = self_;
    const std::string frame = links_.encode(make_payload(*std::move(summary)));
    std::size_t recipients = 0;
    links_.send_to_routers(
        [&](instance_id router, const linked_router& state) -> std::string_view
        {
            if (state.uses_relay(router))
            {
                return {};
            }
            ++recipients;
            return frame;
        });
    load_interval_ =
        load_interval(recipients, frame.size(), link_megabits_per_second_);
}

} // namespace hickorygap
