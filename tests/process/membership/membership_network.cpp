#include "process/membership/membership_network.hpp"

#include "common/logging.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <fmt/format.h>

namespace hickorygap::test
{

namespace
{

constexpr duration step{std::chrono::milliseconds{20}};
constexpr duration check_period{std::chrono::milliseconds{100}};
constexpr std::size_t frame_header_bytes = 20;

// Start of the simulated wall clock, in microseconds of Unix time.
constexpr incarnation_number wall_clock_start = 1'750'000'000'000'000;

} // namespace

membership_network::membership_network(network_options options)
    : options_{options}
    , random_{options.seed}
{
    set_log_level(log_level::error);
    for (std::size_t i = 1; i <= options_.size; ++i)
    {
        const auto id = static_cast<instance_id>(i);
        nodes_[id].id = id;
    }
}

std::vector<instance_id> membership_network::voters() const
{
    std::vector<instance_id> result;
    for (std::size_t i = 1; i <= options_.voters; ++i)
    {
        result.push_back(static_cast<instance_id>(i));
    }
    return result;
}

void membership_network::start(instance_id id)
{
    node& target = nodes_.at(id);
    membership_options options;
    options.self = id;
    options.incarnation = wall_clock_start + static_cast<incarnation_number>(
                                                 now_.since_start.count());
    options.address = fmt::format("10.0.{}.{}:7400", id / 200, id % 200);
    options.failure_domain = "thess-a";
    options.random_seed = random_();
    for (const instance_id voter : voters())
    {
        options.seeds.push_back(
            {voter, fmt::format("10.0.{}.{}:7400", voter / 200, voter % 200)});
        options.voter = options.voter || voter == id;
    }
    target.members = std::make_unique<membership>(options, now_);
    target.members->set_voters(voters());
    version_sync_options sync_options;
    sync_options.self = id;
    sync_options.random_seed = random_();
    target.versions = std::make_unique<version_sync>(sync_options, now_);
    target.up = true;
    target.hung = false;
    target.applied = 0;
    if (target.has_disk && !target.versions->restore(target.disk).ok())
    {
        version_decreased_ = true;
    }
    apply_documents(target);
}

void membership_network::stop(instance_id id)
{
    node& target = nodes_.at(id);
    target.up = false;
    held_messages_.erase(id);
    known_dead_.erase(id);
}

void membership_network::set_hung(instance_id id, bool hung)
{
    nodes_.at(id).hung = hung;
    if (!hung)
    {
        for (const delivery& message : held_messages_[id])
        {
            in_flight_.emplace(now_, message);
        }
        held_messages_.erase(id);
    }
}

double membership_network::random_fraction()
{
    constexpr std::uint64_t resolution = 1U << 20U;
    return static_cast<double>(random_below(random_, resolution)) / resolution;
}

void membership_network::transmit(node& sender, const outgoing_message& message)
{
    wire::envelope_msg envelope;
    envelope.sender = sender.id;
    envelope.incarnation = sender.members->incarnation();
    envelope.payload = message.payload;
    delivery item{
        sender.id, message.destination, envelope.incarnation, encode(envelope)};
    sender.bytes_sent += item.bytes.size() + frame_header_bytes;
    if (message.payload.type == wire::payload::version_push ||
        message.payload.type == wire::payload::version_pull)
    {
        sender.version_bytes_sent += item.bytes.size() + frame_header_bytes;
    }
    const bool cut = cut_ && cut_(sender.id, message.destination);
    if (cut || !nodes_.contains(message.destination) ||
        random_fraction() < options_.loss)
    {
        return;
    }
    const auto spread = static_cast<std::uint64_t>(
        (options_.max_delay - options_.min_delay).count() + 1);
    const duration delay =
        options_.min_delay +
        duration{static_cast<duration::rep>(random_below(random_, spread))};
    in_flight_.emplace(now_ + delay, std::move(item));
}

void membership_network::collect(node& sender)
{
    for (const outgoing_message& message : sender.members->take_outgoing())
    {
        transmit(sender, message);
    }
    for (const outgoing_message& message : sender.versions->take_outgoing())
    {
        transmit(sender, message);
    }
}

void membership_network::deliver(const delivery& message)
{
    node& target = nodes_.at(message.to);
    if (!target.up)
    {
        return;
    }
    if (target.hung)
    {
        held_messages_[target.id].push_back(message);
        return;
    }
    const auto envelope = decode(message.bytes);
    target.bytes_received += message.bytes.size() + frame_header_bytes;
    target.members->receive(
        message.from, message.incarnation, envelope->payload, now_);
    target.versions->receive(message.from, envelope->payload, now_);
    apply_documents(target);
    collect(target);
}

void membership_network::apply_documents(node& target)
{
    for (const version_document_ptr& document :
         target.versions->take_new_documents())
    {
        version_decreased_ =
            version_decreased_ || document->version != target.applied + 1;
        target.applied = document->version;
        target.members->set_version(document->version, document->accepted);
        if (target.has_disk && target.disk.size() < document->version)
        {
            target.disk.push_back(*document);
        }
    }
}

void membership_network::report_new_deaths(node& observer)
{
    if (!on_dead)
    {
        return;
    }
    std::set<instance_id>& known = known_dead_[observer.id];
    for (const auto& record : observer.members->members())
    {
        const bool dead =
            record.state == wire::member_state::dead && record.incarnation != 0;
        if (dead && known.insert(record.instance).second)
        {
            on_dead(observer.id, record.instance);
        }
        else if (!dead)
        {
            known.erase(record.instance);
        }
    }
}

void membership_network::run_for(duration time)
{
    const time_point end = now_ + time;
    while (now_ < end)
    {
        const time_point step_end = now_ + step;
        while (!in_flight_.empty() && in_flight_.begin()->first <= step_end)
        {
            auto next = in_flight_.extract(in_flight_.begin());
            now_ = std::max(now_, next.key());
            deliver(next.mapped());
        }
        now_ = step_end;
        for (auto& [id, item] : nodes_)
        {
            if (item.up && !item.hung)
            {
                item.members->tick(now_);
                item.versions->tick(now_);
                collect(item);
                report_new_deaths(item);
            }
        }
    }
}

bool membership_network::run_until(
    const std::function<bool()>& condition, duration limit)
{
    const time_point end = now_ + limit;
    while (!condition())
    {
        if (now_ >= end)
        {
            return false;
        }
        run_for(check_period);
    }
    return true;
}

void membership_network::accept_ticket(
    instance_id id, std::size_t document_bytes)
{
    node& leader = nodes_.at(id);
    version_document document;
    document.version = leader.versions->version() + 1;
    document.document.assign(
        document_bytes, static_cast<std::uint8_t>(document.version));
    document.accepted = document.version;
    document.chain = ticket_chain(
        leader.versions->chain(), document.version, document.accepted,
        document.content_digest, document.document);
    if (!leader.versions->add(document).ok())
    {
        version_decreased_ = true;
    }
    apply_documents(leader);
    collect(leader);
}

bool membership_network::views_agree() const
{
    std::vector<instance_id> running;
    for (const auto& [id, item] : nodes_)
    {
        if (item.up)
        {
            running.push_back(id);
        }
    }
    for (const auto& [id, item] : nodes_)
    {
        if (item.up && item.members->live_members(now_) != running)
        {
            return false;
        }
    }
    return true;
}

} // namespace hickorygap::test
