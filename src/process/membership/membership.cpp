#include "process/membership/membership.hpp"

#include "common/logging.hpp"

#include <algorithm>
#include <cmath>

namespace hickorygap
{

namespace
{

// How long an answer to a ping is accepted. Evidence is dated at the ping, so a
// late answer does not count as fresh.
constexpr duration ping_lifetime{std::chrono::seconds{5}};

// A longer pause between ticks means that this process was suspended. Answers
// that it missed meanwhile must not make other members suspect.
constexpr duration max_tick_gap{std::chrono::milliseconds{700}};

constexpr duration reconnect_period{std::chrono::seconds{1}};
constexpr duration sync_retry_period{std::chrono::milliseconds{300}};
constexpr duration forget_period{std::chrono::seconds{1}};

// Suspects that are pinged in each reconnect period, so that they learn of the
// suspicion directly and can refute it.
constexpr std::size_t suspects_per_period = 3;

// Consecutive answers with a different view digest before the member list is
// fetched again. Differences for a few seconds are normal while an update
// spreads.
constexpr unsigned max_view_mismatches = 20;

// The same shortly after the start, when the list may have come from a member
// that was itself starting.
constexpr unsigned max_startup_view_mismatches = 4;
constexpr duration startup_period{std::chrono::seconds{30}};

// Dead members are forgotten only while more than half of the members have
// evidence that is not older than this.
constexpr duration forget_freshness{std::chrono::seconds{10}};

// Sizes on the wire with FlatBuffers 2.0, rounded up.
constexpr std::size_t delta_bytes = 32;
constexpr std::size_t record_bytes = 72;
constexpr std::size_t quarantine_bytes = 32;
constexpr std::size_t load_bytes = 56;
constexpr std::size_t envelope_bytes = 48;

// Each of n members sends an update 4 * ceil(log10(n + 1)) times.
constexpr unsigned gossip_multiplier = 4;

// Members to which a leaving instance announces it directly.
constexpr std::size_t leave_announcements = 6;

// Bounds the memory for quarantines; further ones are ignored.
constexpr std::size_t max_quarantines = 4096;

// Ended quarantines are kept for this time. A member whose clock is behind
// still gossips them; if they were removed at once, they would be accepted as
// new and two such members would gossip them back and forth for ever.
constexpr unix_millis quarantine_retention_ms = 600'000;

wire::member_update_msg own_record_of(const membership_options& options)
{
    wire::member_update_msg record;
    record.instance = options.self;
    record.incarnation = options.incarnation;
    record.state = wire::member_state::alive;
    record.voter = options.voter;
    record.address = options.address;
    record.failure_domain = options.failure_domain;
    return record;
}

std::size_t size_of_record(const wire::member_update_msg& record)
{
    return record_bytes + record.address.size() + record.failure_domain.size();
}

std::size_t packed_size(const wire::payloadUnion& payload)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(flatbuffers::Offset<void>{payload.Pack(builder)});
    return builder.GetSize() + envelope_bytes;
}

} // namespace

membership::membership(membership_options options, time_point now)
    : options_{std::move(options)}
    , random_{options_.random_seed}
    , table_{own_record_of(options_), options_.seeds, now}
    , started_{now}
    , last_tick_{now}
{
    // A random phase keeps instances that start together from probing at the
    // same moments.
    const auto phase = [&](duration period)
    {
        return now + duration{static_cast<duration::rep>(random_below(
                         random_, static_cast<std::uint64_t>(period.count())))};
    };
    next_probe_ = phase(options_.probe_period);
    next_exchange_ = phase(options_.evidence_period);
    next_reconnect_ = now;
    next_forget_ = phase(forget_period);
    next_sync_ = now;
    synchronized_ = table_.entries().size() == 1;
    synchronizing_ = !synchronized_;
    member_gossip_.add(options_.self, true);
}

void membership::tick(time_point now)
{
    if (left_)
    {
        return;
    }
    const duration gap = now - last_tick_;
    last_tick_ = now;
    if (gap > max_tick_gap)
    {
        for (auto& [sequence, ping] : pings_)
        {
            ping.failed = true;
        }
        table_.shift_state_times(gap);
    }
    check_probes(now);
    check_suspects(now);
    if (now >= next_probe_)
    {
        next_probe_ = std::max(
            next_probe_ + options_.probe_period,
            now + options_.probe_period / 2);
        start_probe(now);
    }
    if (now >= next_exchange_)
    {
        next_exchange_ = std::max(
            next_exchange_ + options_.evidence_period,
            now + options_.evidence_period / 2);
        start_exchange(now);
    }
    if (now >= next_reconnect_)
    {
        next_reconnect_ = now + reconnect_period;
        ping_unreachable_members(now);
    }
    if (synchronizing_ && now >= next_sync_)
    {
        continue_sync(now);
    }
    if (now >= next_forget_)
    {
        next_forget_ = now + forget_period;
        const bool majority =
            2 * reachable_members(now, forget_freshness) > counted_members();
        table_.forget(options_.forget_after, synchronized_ && majority, now);
    }
}

void membership::receive(
    instance_id from, incarnation_number /*from_incarnation*/,
    const wire::payloadUnion& payload, time_point now)
{
    if (from == options_.self)
    {
        return;
    }
    if (const auto* ping = message_in<wire::ping_msg>(payload))
    {
        handle_ping(from, *ping, now);
    }
    else if (const auto* ack = message_in<wire::ping_ack_msg>(payload))
    {
        handle_ack(from, *ack, now);
    }
    else if (const auto* request = message_in<wire::ping_request_msg>(payload))
    {
        handle_ping_request(from, *request, now);
    }
}

void membership::handle_ping(
    instance_id from, const wire::ping_msg& ping, time_point now)
{
    merge_gossip(from, ping, true, now);
    if (ping.view_digest == table_.view_digest())
    {
        // The sender has all records that are still gossiped in full. Counting
        // them as sent ends that gossip soon after a restart of the whole
        // fleet: at 380 instances it took 5 KB/s of each for two minutes.
        member_gossip_.mark_full_records_sent(gossip_limit());
    }
    wire::ping_ack_msg ack;
    ack.sequence = ping.sequence;
    const member_entry* sender = table_.find(from);
    ack.unknown_sender =
        sender == nullptr || sender->record.incarnation == 0 ||
        (!ping.deltas.empty() &&
         ping.deltas.front().incarnation() > sender->record.incarnation);
    add_gossip(from, ack, now);
    ack.evidence = encode_evidence(own_evidence(now));
    if (ping.wants_sync)
    {
        add_sync_page(ack, ping.sync_after);
    }
    send(from, make_payload(std::move(ack)));
}

void membership::handle_ack(
    instance_id from, const wire::ping_ack_msg& ack, time_point now)
{
    // Records of a synchronization page are new to this instance only, so they
    // are not gossiped further.
    merge_gossip(from, ack, !ack.sync, now);
    const auto found = pings_.find(ack.sequence);
    if (found == pings_.end())
    {
        return;
    }
    const outstanding_ping ping = found->second;
    const instance_id answered = ack.target == 0 ? from : ack.target;
    if (answered != ping.target)
    {
        return;
    }
    table_.set_last_evidence(from, ping.sent);
    table_.set_last_evidence(ping.target, ping.sent);
    last_answer_ = std::max(last_answer_.value_or(ping.sent), ping.sent);
    pings_.erase(found);
    if (ping.purpose == ping_purpose::indirect)
    {
        wire::ping_ack_msg relayed;
        relayed.sequence = ping.requester_sequence;
        relayed.target = ping.target;
        add_gossip(ping.requester, relayed, now);
        send(ping.requester, make_payload(std::move(relayed)));
    }
    if (ack.target == 0)
    {
        merge_evidence(ack, ping.sent, now);
        compare_view_digest(ack.view_digest);
    }
    if (ack.unknown_sender)
    {
        member_gossip_.add(options_.self, true);
        send_ping(from, ping_purpose::exchange, now);
    }
    if (ack.sync)
    {
        handle_sync_page(from, ack, now);
    }
}

void membership::handle_ping_request(
    instance_id from, const wire::ping_request_msg& request, time_point now)
{
    if (request.target == options_.self ||
        table_.find(request.target) == nullptr)
    {
        return;
    }
    outstanding_ping& ping =
        pings_[send_ping(request.target, ping_purpose::indirect, now)];
    ping.requester = from;
    ping.requester_sequence = request.sequence;
}

void membership::merge_evidence(
    const wire::ping_ack_msg& ack, time_point sent, time_point /*now*/)
{
    const auto entries = decode_evidence(ack.evidence);
    if (!entries.ok())
    {
        return;
    }
    for (const evidence_entry& entry : *entries)
    {
        if (entry.instance == options_.self)
        {
            continue;
        }
        if (entry.age)
        {
            table_.set_last_evidence(entry.instance, sent - *entry.age);
        }
        if (entry.applied)
        {
            table_.set_applied(entry.instance, ack.version);
        }
    }
}

template <typename Message>
void membership::merge_gossip(
    instance_id from, const Message& message, bool spread, time_point now)
{
    // Full records go first, because a delta may refer to a process whose
    // record is in the same message.
    for (const auto& update : message.updates)
    {
        merge_update(*update, spread, now);
    }
    for (const wire::member_delta& delta : message.deltas)
    {
        merge_delta(delta, from, now);
    }
    for (const auto& entry : message.quarantines)
    {
        add_quarantine(entry->fingerprint, entry->until_unix_ms);
    }
    for (const auto& load : message.loads)
    {
        cell_loads_[load->cell] = {from, now, *load};
    }
}

void membership::merge_update(
    const wire::member_update_msg& update, bool spread, time_point now)
{
    if (update.instance == options_.self)
    {
        refute(update.incarnation, update.state);
        return;
    }
    const member_entry* known = table_.find(update.instance);
    const bool was_live = known != nullptr && known->is_live();
    handle_merge_result(
        update.instance, table_.merge(update, now), spread, was_live);
}

void membership::merge_delta(
    const wire::member_delta& delta, instance_id from, time_point now)
{
    if (delta.instance() == options_.self)
    {
        refute(delta.incarnation(), delta.state());
        return;
    }
    const member_entry* known = table_.find(delta.instance());
    const bool was_live = known != nullptr && known->is_live();
    handle_merge_result(
        delta.instance(), table_.merge(delta, from == delta.instance(), now),
        true, was_live);
}

void membership::handle_merge_result(
    instance_id id, merge_result result, bool spread, bool was_live)
{
    if (result != merge_result::changed && result != merge_result::new_process)
    {
        return;
    }
    if (spread)
    {
        member_gossip_.add(id, result == merge_result::new_process);
    }
    if (!was_live && table_.find(id)->is_live())
    {
        // Inserts the member at a random position in the rest of the probe
        // round. Otherwise it would not be probed before the next round, which
        // at 380 members starts up to 380 s later.
        const auto index = random_below(random_, probe_order_.size() + 1);
        probe_order_.insert(
            probe_order_.begin() + static_cast<std::ptrdiff_t>(index), id);
    }
}

void membership::refute(incarnation_number seen, wire::member_state state)
{
    const incarnation_number known = incarnation();
    const bool wrong =
        seen > known || (seen == known && state != wire::member_state::alive);
    if (!wrong || left_)
    {
        return;
    }
    log(log_level::info, subsystem::membership,
        "refuted state={} incarnation={}", wire::EnumNamemember_state(state),
        seen);
    // Members that know this process accept a delta, because a small difference
    // of incarnations means the same process. A higher incarnation comes from
    // an earlier process whose clock was ahead; superseding it takes the full
    // record.
    member_gossip_.add(options_.self, seen > known);
    table_.own_record().incarnation = seen + 1;
}

void membership::compare_view_digest(std::uint64_t digest)
{
    if (digest == table_.view_digest())
    {
        view_mismatches_ = 0;
        return;
    }
    const unsigned limit = last_tick_ - started_ < startup_period
                               ? max_startup_view_mismatches
                               : max_view_mismatches;
    if (++view_mismatches_ >= limit && !synchronizing_)
    {
        view_mismatches_ = 0;
        synchronizing_ = true;
        sync_after_ = 0;
    }
}

template <typename Message>
void membership::add_gossip(
    instance_id receiver, Message& message, time_point /*now*/)
{
    const wire::member_update_msg& own = std::as_const(table_).own_record();
    message.version = own.version;
    message.view_digest = table_.view_digest();
    message.deltas.push_back(delta_of(own));
    const member_entry* entry = table_.find(receiver);
    if (entry != nullptr && entry->record.incarnation != 0 &&
        entry->record.state != wire::member_state::alive)
    {
        // Lets the receiver refute a state other than alive.
        message.deltas.push_back(delta_of(entry->record));
    }
    std::size_t budget = options_.max_piggyback_bytes;
    const auto size_of = [&](const gossip_queue::item& item)
    {
        const member_entry* member =
            table_.find(static_cast<instance_id>(item.key));
        return item.full_record && member != nullptr
                   ? size_of_record(member->record)
                   : delta_bytes;
    };
    for (const auto& item :
         member_gossip_.select(budget, gossip_limit(), size_of))
    {
        const member_entry* member =
            table_.find(static_cast<instance_id>(item.key));
        if (member != nullptr && item.full_record)
        {
            message.updates.push_back(
                std::make_unique<wire::member_update_msg>(member->record));
        }
        else if (member != nullptr && item.key != options_.self)
        {
            message.deltas.push_back(delta_of(member->record));
        }
    }
    for (const auto& item : quarantine_gossip_.select(
             budget, gossip_limit(),
             [](const gossip_queue::item&) { return quarantine_bytes; }))
    {
        auto quarantine = std::make_unique<wire::quarantine_entry_msg>();
        quarantine->fingerprint = item.key;
        quarantine->until_unix_ms = quarantines_[item.key];
        message.quarantines.push_back(std::move(quarantine));
    }
    for (const wire::cell_load_msg& load : own_loads_)
    {
        const std::size_t size =
            load_bytes + load.queued.size() * sizeof(std::uint32_t);
        if (size > budget)
        {
            break;
        }
        budget -= size;
        message.loads.push_back(std::make_unique<wire::cell_load_msg>(load));
    }
    // Rotates the loads, so that the next message starts with those that did
    // not fit into this one.
    if (!own_loads_.empty())
    {
        std::rotate(
            own_loads_.begin(),
            own_loads_.begin() + static_cast<std::ptrdiff_t>(
                                     message.loads.size() % own_loads_.size()),
            own_loads_.end());
    }
}

void membership::add_sync_page(
    wire::ping_ack_msg& ack, std::uint32_t after) const
{
    ack.sync = true;
    ack.sync_after = after;
    std::size_t budget = options_.max_sync_page_bytes;
    for (auto i = table_.entries().upper_bound(after);
         i != table_.entries().end(); ++i)
    {
        const wire::member_update_msg& record = i->second.record;
        const std::size_t size = size_of_record(record);
        if (size > budget)
        {
            return;
        }
        budget -= size;
        ack.sync_next = i->first;
        if (record.incarnation != 0)
        {
            ack.updates.push_back(
                std::make_unique<wire::member_update_msg>(record));
        }
    }
    ack.sync_next = 0;
    if (after == 0 || budget > 0)
    {
        for (const auto& [fingerprint, until] : quarantines_)
        {
            if (budget < quarantine_bytes)
            {
                return;
            }
            budget -= quarantine_bytes;
            auto entry = std::make_unique<wire::quarantine_entry_msg>();
            entry->fingerprint = fingerprint;
            entry->until_unix_ms = until;
            ack.quarantines.push_back(std::move(entry));
        }
    }
}

void membership::handle_sync_page(
    instance_id from, const wire::ping_ack_msg& ack, time_point now)
{
    if (!synchronizing_ || ack.sync_after != sync_after_)
    {
        return;
    }
    sync_after_ = ack.sync_next;
    if (ack.sync_next == 0)
    {
        synchronizing_ = false;
        if (!synchronized_)
        {
            synchronized_ = true;
            log(log_level::info, subsystem::membership,
                "member list fetched from={} members={}", from,
                table_.live_count());
        }
        return;
    }
    continue_sync(now);
}

std::uint32_t
membership::send_ping(instance_id target, ping_purpose purpose, time_point now)
{
    wire::ping_msg ping;
    ping.sequence = next_sequence_++;
    add_gossip(target, ping, now);
    outstanding_ping& state = pings_[ping.sequence];
    state.target = target;
    state.purpose = purpose;
    state.sent = now;
    const std::uint32_t sequence = ping.sequence;
    send(target, make_payload(std::move(ping)));
    return sequence;
}

void membership::start_probe(time_point now)
{
    if (const auto target = next_probe_target())
    {
        send_ping(*target, ping_purpose::probe, now);
    }
}

void membership::start_exchange(time_point now)
{
    if (const auto target = random_live_member())
    {
        // The ping also counts as a probe. This costs no additional bytes and
        // halves the time until a dead member is detected.
        send_ping(*target, ping_purpose::probe, now);
    }
}

void membership::ping_unreachable_members(time_point now)
{
    std::vector<instance_id> unreachable;
    std::size_t suspects = 0;
    for (const auto& [id, entry] : table_.entries())
    {
        if (entry.record.state == wire::member_state::suspect &&
            suspects < suspects_per_period)
        {
            ++suspects;
            send_ping(id, ping_purpose::exchange, now);
        }
        const bool retried =
            entry.record.state == wire::member_state::dead ||
            (entry.seed && entry.record.state == wire::member_state::left);
        if (retried)
        {
            unreachable.push_back(id);
        }
    }
    if (!unreachable.empty())
    {
        const auto index = random_below(random_, unreachable.size());
        send_ping(unreachable[index], ping_purpose::exchange, now);
    }
}

void membership::continue_sync(time_point now)
{
    next_sync_ = now + sync_retry_period;
    std::optional<instance_id> target = random_live_member();
    if (!target)
    {
        std::vector<instance_id> seeds;
        for (const auto& [id, entry] : table_.entries())
        {
            if (entry.seed)
            {
                seeds.push_back(id);
            }
        }
        if (seeds.empty())
        {
            return;
        }
        target = seeds[random_below(random_, seeds.size())];
    }
    wire::ping_msg ping;
    ping.sequence = next_sequence_++;
    ping.wants_sync = true;
    ping.sync_after = sync_after_;
    add_gossip(*target, ping, now);
    pings_[ping.sequence] = {*target, ping_purpose::exchange, now};
    send(*target, make_payload(std::move(ping)));
}

void membership::check_probes(time_point now)
{
    std::vector<instance_id> unanswered;
    for (auto i = pings_.begin(); i != pings_.end();)
    {
        outstanding_ping& ping = i->second;
        const duration age = now - ping.sent;
        if (ping.purpose == ping_purpose::probe && !ping.failed)
        {
            if (age >= options_.ack_timeout && !ping.indirect_sent)
            {
                send_indirect_probes(i->first, ping);
            }
            if (age >= options_.probe_timeout)
            {
                ping.failed = true;
                if (may_suspect(ping, now))
                {
                    unanswered.push_back(ping.target);
                }
            }
        }
        i = age >= ping_lifetime ? pings_.erase(i) : std::next(i);
    }
    for (const instance_id id : unanswered)
    {
        suspect(id, now);
    }
}

void membership::send_indirect_probes(
    std::uint32_t sequence, outstanding_ping& ping)
{
    ping.indirect_sent = true;
    std::vector<instance_id> helpers = other_live_members();
    std::erase(helpers, ping.target);
    for (std::size_t i = 0; i < options_.indirect_probes && !helpers.empty();
         ++i)
    {
        const auto index = random_below(random_, helpers.size());
        wire::ping_request_msg request;
        request.sequence = sequence;
        request.target = ping.target;
        send(helpers[index], make_payload(request));
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

// An instance whose own network links are down gets no answers at all. It must
// not suspect the whole fleet, since each member would have to refute once the
// links are up again. So a member becomes suspect only if a ping sent no
// earlier was answered or a majority of the voters is reachable.
bool membership::may_suspect(const outstanding_ping& ping, time_point now) const
{
    const bool others_answer = last_answer_ && *last_answer_ >= ping.sent;
    return others_answer ||
           reaches_majority_of(voters_, now, options_.lease_period);
}

void membership::suspect(instance_id id, time_point now)
{
    const member_entry* entry = table_.find(id);
    if (entry == nullptr || entry->record.state != wire::member_state::alive)
    {
        return;
    }
    log(log_level::info, subsystem::membership, "suspected instance={}", id);
    table_.set_state(id, wire::member_state::suspect, now);
    member_gossip_.add(id, false);
    send_ping(id, ping_purpose::exchange, now);
}

void membership::check_suspects(time_point now)
{
    if (table_.suspect_count() == 0)
    {
        return;
    }
    std::vector<instance_id> dead;
    for (const auto& [id, entry] : table_.entries())
    {
        if (entry.record.state == wire::member_state::suspect &&
            now - entry.state_since >= options_.suspicion_timeout)
        {
            dead.push_back(id);
        }
    }
    for (const instance_id id : dead)
    {
        log(log_level::warning, subsystem::membership, "dead instance={}", id);
        table_.set_state(id, wire::member_state::dead, now);
        member_gossip_.add(id, false);
    }
}

std::optional<instance_id> membership::next_probe_target()
{
    for (int round = 0; round < 2; ++round)
    {
        while (!probe_order_.empty())
        {
            const instance_id id = probe_order_.back();
            probe_order_.pop_back();
            const member_entry* entry = table_.find(id);
            if (entry != nullptr && entry->is_live())
            {
                return id;
            }
        }
        probe_order_ = other_live_members();
        for (std::size_t i = probe_order_.size(); i > 1; --i)
        {
            std::swap(
                probe_order_[i - 1], probe_order_[random_below(random_, i)]);
        }
    }
    return std::nullopt;
}

std::optional<instance_id> membership::random_live_member()
{
    const std::vector<instance_id> live = other_live_members();
    if (live.empty())
    {
        return std::nullopt;
    }
    return live[random_below(random_, live.size())];
}

std::vector<instance_id> membership::other_live_members() const
{
    std::vector<instance_id> result;
    for (const auto& [id, entry] : table_.entries())
    {
        if (id != options_.self && entry.is_live())
        {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<evidence_entry> membership::own_evidence(time_point now) const
{
    std::vector<evidence_entry> result;
    const configuration_version version = table_.own_record().version;
    for (const auto& [id, entry] : table_.entries())
    {
        if (!entry.counted || id == options_.self)
        {
            continue;
        }
        evidence_entry evidence;
        evidence.instance = id;
        if (entry.last_evidence)
        {
            evidence.age = now - *entry.last_evidence;
        }
        evidence.applied = entry.record.version >= version;
        result.push_back(evidence);
    }
    return result;
}

unsigned membership::gossip_limit() const
{
    const double members = static_cast<double>(table_.live_count());
    return gossip_multiplier *
           static_cast<unsigned>(std::ceil(std::log10(members + 1)));
}

void membership::send(instance_id destination, wire::payloadUnion payload)
{
    outgoing_.push_back({destination, std::move(payload)});
}

std::vector<outgoing_message> membership::take_outgoing()
{
    for (const outgoing_message& message : outgoing_)
    {
        bytes_sent_ += packed_size(message.payload);
    }
    return std::exchange(outgoing_, {});
}

std::vector<wire::member_update_msg> membership::members() const
{
    std::vector<wire::member_update_msg> result;
    for (const auto& [id, entry] : table_.entries())
    {
        result.push_back(entry.record);
    }
    return result;
}

std::vector<instance_id> membership::live_members(time_point now) const
{
    std::vector<instance_id> result;
    for (const auto& [id, entry] : table_.entries())
    {
        const bool expired =
            entry.record.state == wire::member_state::suspect &&
            now - entry.state_since >= options_.lease_period;
        if (entry.is_live() && !expired)
        {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<std::pair<instance_id, std::string>>
membership::take_address_changes()
{
    return table_.take_address_changes();
}

void membership::set_version(
    configuration_version version, unix_millis since_unix_ms)
{
    if (version == std::as_const(table_).own_record().version)
    {
        return;
    }
    wire::member_update_msg& own = table_.own_record();
    own.version = version;
    own.version_since_unix_ms = since_unix_ms;
    // Announces the new version to two members immediately.
    next_probe_ = std::min(next_probe_, last_tick_);
    next_exchange_ = std::min(next_exchange_, last_tick_);
}

void membership::set_ready(bool ready)
{
    if (std::as_const(table_).own_record().ready == ready || left_)
    {
        return;
    }
    wire::member_update_msg& own = table_.own_record();
    // Raising the incarnation orders the changes of readiness.
    own.ready = ready;
    ++own.incarnation;
    member_gossip_.add(options_.self, false);
}

void membership::set_voters(std::span<const instance_id> voters)
{
    voters_ = {voters.begin(), voters.end()};
}

void membership::leave(time_point now)
{
    if (left_)
    {
        return;
    }
    wire::member_update_msg& own = table_.own_record();
    own.state = wire::member_state::left;
    own.ready = false;
    ++own.incarnation;
    left_ = true;
    std::vector<instance_id> others = other_live_members();
    for (std::size_t i = 0; i < leave_announcements && !others.empty(); ++i)
    {
        const auto index = random_below(random_, others.size());
        send_ping(others[index], ping_purpose::exchange, now);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

bool membership::has_evidence_within(
    const member_entry& entry, time_point now, duration freshness) const
{
    return entry.record.instance == options_.self ||
           (entry.last_evidence && now - *entry.last_evidence <= freshness);
}

bool membership::reaches_majority_of(
    std::span<const instance_id> voters, time_point now,
    duration freshness) const
{
    const auto reachable = std::count_if(
        voters.begin(), voters.end(),
        [&](instance_id id)
        {
            const member_entry* entry = table_.find(id);
            return entry != nullptr &&
                   has_evidence_within(*entry, now, freshness);
        });
    return 2 * static_cast<std::size_t>(reachable) > voters.size();
}

std::size_t
membership::reachable_members(time_point now, duration freshness) const
{
    return static_cast<std::size_t>(std::count_if(
        table_.entries().begin(), table_.entries().end(),
        [&](const auto& item)
        {
            return item.second.counted &&
                   has_evidence_within(item.second, now, freshness);
        }));
}

std::size_t membership::counted_members() const
{
    return table_.counted();
}

bool membership::reaches_half_of_members(
    time_point now, duration freshness) const
{
    if (!synchronized_)
    {
        return false;
    }
    const std::size_t reachable = 2 * reachable_members(now, freshness);
    const std::size_t counted = counted_members();
    return reachable > counted ||
           (reachable == counted &&
            reaches_majority_of(voters_, now, freshness));
}

void membership::add_quarantine(
    request_fingerprint fingerprint, unix_millis until)
{
    if (quarantines_.size() >= max_quarantines &&
        !quarantines_.contains(fingerprint))
    {
        return;
    }
    unix_millis& known = quarantines_[fingerprint];
    if (until > known)
    {
        known = until;
        quarantine_gossip_.add(fingerprint, false);
    }
}

std::vector<wire::quarantine_entry_msg> membership::quarantines(unix_millis now)
{
    std::vector<wire::quarantine_entry_msg> result;
    for (auto i = quarantines_.begin(); i != quarantines_.end();)
    {
        if (i->second <= now)
        {
            quarantine_gossip_.remove(i->first);
            i = i->second + quarantine_retention_ms <= now
                    ? quarantines_.erase(i)
                    : std::next(i);
            continue;
        }
        wire::quarantine_entry_msg entry;
        entry.fingerprint = i->first;
        entry.until_unix_ms = i->second;
        result.push_back(entry);
        ++i;
    }
    return result;
}

void membership::set_cell_loads(std::vector<wire::cell_load_msg> loads)
{
    own_loads_ = std::move(loads);
}

} // namespace hickorygap
