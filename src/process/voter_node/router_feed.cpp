#include "process/voter_node/router_feed.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Routers hear from each voter at least so often; they count on it to notice
// a voter that has vanished.
constexpr duration notice_interval = std::chrono::seconds{1};

// Interval at which the leader reads the list of backend servers. A server
// that leaves may get new requests for 3 s after the list shows it.
constexpr duration list_interval = std::chrono::seconds{1};

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
        next_list_read_ = loop_.now() + list_interval;
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
    else if (const auto* pull = message_in<wire::routing_pull_msg>(payload))
    {
        const sent_documents* sent = links_.documents_on(link);
        const configuration_version held =
            std::max(pull->version, sent ? sent->configuration : 0);
        if (voter_->current().version > held)
        {
            transfers_.add({from, transfer_kind::configuration});
            send_transfers();
        }
    }
    else if (const auto* pull = message_in<wire::backends_pull_msg>(payload))
    {
        const sent_documents* sent = links_.documents_on(link);
        const backend_list_version asked{pull->epoch, pull->sequence};
        const backend_list_version held =
            std::max(asked, sent ? sent->backend_list : asked);
        if (backends_.version() > held)
        {
            transfers_.add({from, transfer_kind::backend_list});
            send_transfers();
        }
    }
    else if (const auto* push = message_in<wire::backends_push_msg>(payload))
    {
        on_backends(from, *push);
    }
    else
    {
        return false;
    }
    return true;
}

// Announcements.

wire::payloadUnion router_feed::notice() const
{
    wire::voter_notice_msg message;
    message.version = voter_->current().version;
    message.leads = voter_->raft().holds_lease(loop_.now());
    if (const voter_list* list = voter_->raft().configuration())
    {
        for (const voter_identity& voter : list->voters)
        {
            message.voters.push_back(voter.instance);
        }
    }
    message.routers = links_.routers();
    message.backends_epoch = backends_.version().epoch;
    message.backends_sequence = backends_.version().sequence;
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

// A router tells what it holds when a link starts, regularly, and after each
// document, so that copies it no longer needs are not sent.
void router_feed::on_status(
    instance_id from, const wire::router_status_msg& status,
    link_connection& link)
{
    if (links_.mark_router(link))
    {
        link.send(notice());
    }
    if (status.version >= voter_->current().version)
    {
        transfers_.remove({from, transfer_kind::configuration});
    }
    if (backend_list_version{status.backends_epoch, status.backends_sequence} >=
        backends_.version())
    {
        transfers_.remove({from, transfer_kind::backend_list});
    }
}

// Complete documents.

std::optional<wire::payloadUnion> router_feed::content(transfer_kind kind) const
{
    if (kind == transfer_kind::configuration)
    {
        const filed_configuration& current = voter_->current();
        if (current.version == 0)
        {
            return std::nullopt;
        }
        wire::routing_push_msg push;
        push.version = current.version;
        push.document = current.document;
        return make_payload(std::move(push));
    }
    auto list = backends_.complete();
    if (!list)
    {
        return std::nullopt;
    }
    return make_payload(*std::move(list));
}

void router_feed::note_sent(transfer_kind kind, sent_documents& sent) const
{
    if (kind == transfer_kind::configuration)
    {
        sent.configuration = voter_->current().version;
    }
    else
    {
        sent.backend_list = backends_.version();
    }
}

void router_feed::send_transfers()
{
    while (const auto next = transfers_.take(loop_.now()))
    {
        link_connection* link = links_.link_from(next->receiver);
        const auto document = content(next->kind);
        if (link == nullptr || !document)
        {
            continue;
        }
        const std::string frame =
            link_connection::encode_frame(self_, *document);
        link->send_frame(frame);
        transfers_.sent(frame.size());
        if (sent_documents* sent = links_.documents_on(*link))
        {
            note_sent(next->kind, *sent);
        }
    }
    loop_.cancel(transfer_timer_);
    transfer_timer_ = 0;
    if (const auto wait = transfers_.wait(loop_.now()))
    {
        transfer_timer_ = loop_.after(*wait, [this] { send_transfers(); });
    }
}

// The list of backend servers.

void router_feed::read_backend_list()
{
    list_reader_.read([this](absl::StatusOr<std::vector<listed_backend>> list)
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
    auto change = backends_.publish(voter_->raft().term(), *list);
    if (!change)
    {
        return;
    }
    log(log_level::info, subsystem::routing,
        "backend_list_changed epoch={} sequence={} changed={} removed={} "
        "size={}",
        change->epoch, change->sequence, change->changed.size(),
        change->removed.size(), list->size());
    const wire::payloadUnion payload = make_payload(*std::move(change));
    links_.send_to_routers(payload);
    send_to_voters(payload);
}

void router_feed::on_backends(
    instance_id from, const wire::backends_push_msg& push)
{
    if (!backends_.apply(push) && push.complete.empty())
    {
        links_.send(from, make_payload(wire::backends_pull_msg{}));
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
