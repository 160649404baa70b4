#include "process/voter_node/router_feed.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Routers hear from each voter at least so often; they count on it to notice a
// leader or a voter that has vanished within 1.5 and 2.5 s.
constexpr duration notice_interval = std::chrono::milliseconds{500};

// Shortest interval at which the leader reads the list of backend servers. A
// server that leaves may get new requests for 3 s after the list shows it.
constexpr duration shortest_list_interval = std::chrono::seconds{1};

// Share of the permitted rate of calls that the leader uses.
constexpr double leader_rate_share = 0.5;

// Share of the network link for complete documents. Loads and notices take
// about a quarter of the narrowest link; the rest is for the group.
constexpr double transfer_share = 0.5;

// Bytes per second for complete documents.
double transfer_rate(const fleet_settings& settings)
{
    constexpr double bytes_per_megabit = 1e6 / 8;
    return settings.peers.link_megabits_per_second * bytes_per_megabit *
           transfer_share;
}

} // namespace

router_feed::router_feed(
    event_loop& loop, voter_links& links, const fleet_settings& settings,
    const backend_list_format& list_format)
    : loop_{loop}
    , links_{links}
    , self_{instance_at(settings.instance.host)}
    , list_calls_per_second_{settings.backend_list.calls_per_second}
    , list_reader_{loop, list_format, settings.backend_list.address}
    , transfers_{transfer_rate(settings)}
{
}

void router_feed::start(const routing_voter& voter)
{
    voter_ = &voter;
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
        notify();
    }
}

bool router_feed::receive(
    instance_id from, const wire::payloadUnion& payload, link_connection& link)
{
    if (const auto* status = message_in<wire::router_status_msg>(payload))
    {
        on_status(from, *status, link);
    }
    else if (const auto* loads = message_in<wire::load_report_msg>(payload))
    {
        loads_.set(
            from, to_loads(loads->backends, loads->in_flight), loop_.now());
    }
    else if (const auto* push = message_in<wire::backends_push_msg>(payload))
    {
        on_backends(from, *push);
    }
    else if (const auto* pull = message_in<wire::backends_pull_msg>(payload))
    {
        if (auto changes =
                backends_.changes_since({pull->epoch, pull->sequence}))
        {
            links_.send(from, make_payload(*std::move(changes)));
        }
    }
    else
    {
        return false;
    }
    return true;
}

void router_feed::update_metrics(metrics_registry& metrics) const
{
    metrics.find_gauge("live", "routers", "Routers that reported lately.")
        .set(links_.routers());
    metrics
        .find_gauge(
            "waiting", "transfers",
            "Documents for routers that wait for the limited rate.")
        .set(static_cast<double>(transfers_.size()));
    metrics
        .find_gauge(
            "backend_list", "sequence",
            "Version of the list of backend servers within its epoch.")
        .set(static_cast<double>(backends_.version().sequence));
}

// Announcements.

wire::payloadUnion router_feed::notice() const
{
    wire::voter_notice_msg message;
    message.leads = voter_->raft().holds_lease(loop_.now());
    if (const voter_list* list = voter_->raft().configuration())
    {
        message.voters = list->instances();
    }
    message.routers = links_.routers();
    return make_payload(std::move(message));
}

void router_feed::notify()
{
    next_notice_ = loop_.now() + notice_interval;
    links_.send_to_routers(notice());
}

void router_feed::on_leadership_change()
{
    next_list_read_ = loop_.now();
    notify();
}

// Documents.

void router_feed::on_configuration()
{
    documents_.add(voter_->current());
    configuration_frames_.clear();
    offer(transfer_kind::configuration);
}

void router_feed::on_new_backend_list()
{
    backend_list_frames_.clear();
    offer(transfer_kind::backend_list);
}

void router_feed::on_status(
    instance_id from, const wire::router_status_msg& status,
    link_connection& link)
{
    if (links_.mark_router(link))
    {
        link.send(notice());
    }
    router_documents* documents = links_.documents_on(link);
    if (documents == nullptr)
    {
        return;
    }
    documents->backend_list.on_report(
        {status.backends_epoch, status.backends_sequence});
    documents->configuration.on_report(status.version);
    if (documents->backend_list.needs(backends_.version()))
    {
        transfers_.add({from, transfer_kind::backend_list});
    }
    if (documents->configuration.needs(documents_.newest()))
    {
        transfers_.add({from, transfer_kind::configuration});
    }
    send_transfers();
}

// Puts all routers into the queue. Each voter starts at another one, so that
// together they reach all of them soon.
void router_feed::offer(transfer_kind kind)
{
    const std::vector<instance_id> routers = links_.live_routers();
    if (const voter_list* list = voter_->raft().configuration();
        list != nullptr && !list->voters.empty())
    {
        const std::size_t first =
            routers.size() * list->rank_of(self_) / list->voters.size();
        for (std::size_t i = 0; i < routers.size(); ++i)
        {
            transfers_.add({routers[(first + i) % routers.size()], kind});
        }
    }
    send_transfers();
}

void router_feed::send_transfers()
{
    while (const auto next = transfers_.take(loop_.now()))
    {
        transfers_.sent(send_transfer(*next));
    }
    loop_.cancel(transfer_timer_);
    if (const auto wait = transfers_.wait(loop_.now()))
    {
        transfer_timer_ = loop_.after(*wait, [this] { send_transfers(); });
    }
}

// Returns the number of bytes sent; zero where the router is gone or needs
// nothing any more.
std::size_t router_feed::send_transfer(const transfer& item)
{
    link_connection* link = links_.link_from(item.receiver);
    router_documents* documents =
        link == nullptr ? nullptr : links_.documents_on(*link);
    if (documents == nullptr)
    {
        return 0;
    }
    if (item.kind == transfer_kind::configuration)
    {
        return deliver(
            *link, documents->configuration, documents_, documents_.newest(),
            configuration_frames_);
    }
    return deliver(
        *link, documents->backend_list, backends_, backends_.version(),
        backend_list_frames_);
}

// Sends what takes the router from the version that it holds to the newest one
// of the source. Encoded once for all routers that hold the same.
template <typename Version, typename Source>
std::size_t router_feed::deliver(
    link_connection& link, delivery_state<Version>& state, const Source& source,
    const Version& newest, std::map<Version, std::string>& frames)
{
    if (!state.needs(newest))
    {
        return 0;
    }
    const Version held = state.held();
    std::string& frame = frames[held];
    if (frame.empty())
    {
        frame = link_connection::encode_frame(
            self_, make_payload(*source.changes_since(held)));
    }
    state.on_sent(held, newest);
    link.send_frame(frame);
    return frame.size();
}

// The list of backend servers.

// A list of many pages is read as often as the permitted rate allows.
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
    list_reader_.read(
        duration{0}, [this](absl::StatusOr<std::vector<listed_backend>> list)
        { on_backend_list(std::move(list)); });
}

void router_feed::on_backend_list(
    absl::StatusOr<std::vector<listed_backend>> list)
{
    if (list.ok() != list_was_read_)
    {
        list_was_read_ = list.ok();
        log(list.ok() ? log_level::info : log_level::warning,
            subsystem::routing, "backend_list_{} error=\"{}\"",
            list.ok() ? "regained" : "lost", message_of(list.status()));
    }
    if (!list.ok() || !voter_->raft().is_leader())
    {
        return;
    }
    const backend_list_version previous = backends_.version();
    const auto change = backends_.publish(voter_->raft().term(), *list);
    if (!change)
    {
        return;
    }
    log(log_level::info, subsystem::routing,
        "backend_list_changed epoch={} sequence={} changed={} removed={} "
        "size={}",
        backends_.version().epoch, backends_.version().sequence,
        change->changed, change->removed, list->size());
    send_to_voters(make_payload(*backends_.changes_since(previous)));
    on_new_backend_list();
}

void router_feed::on_backends(
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

void router_feed::send_to_voters(const wire::payloadUnion& payload)
{
    for (const voter_identity& voter : voter_->raft().configuration()->voters)
    {
        if (voter.instance != self_)
        {
            links_.send(voter.instance, payload);
        }
    }
}

// While leader, tells all routers where the fleet's requests are.
void router_feed::summarize_loads()
{
    loop_.after(load_interval(links_.routers()), [this] { summarize_loads(); });
    if (!voter_->raft().is_leader())
    {
        return;
    }
    links_.send_to_routers(make_payload(
        to_message<wire::load_summary_msg>(loads_.sum(loop_.now()))));
}

} // namespace hickorygap
