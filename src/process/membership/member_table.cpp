#include "process/membership/member_table.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <tuple>

namespace hickorygap
{

namespace
{

// The incarnation of a process starts at its start time in microseconds and is
// raised by one for each change that needs an order. No process restarts within
// a millisecond, so a smaller difference means the same process.
constexpr incarnation_number same_process_range = 1000;

bool same_process(incarnation_number older, incarnation_number newer)
{
    return older != 0 && newer >= older && newer - older < same_process_range;
}

bool supersedes(
    const wire::member_update_msg& update, const wire::member_update_msg& known)
{
    return std::tie(update.incarnation, update.state) >
           std::tie(known.incarnation, known.state);
}

} // namespace

wire::member_delta delta_of(const wire::member_update_msg& record)
{
    return {record.incarnation, record.version, record.version_since_unix_ms,
            record.instance,    record.state,   record.ready};
}

member_table::member_table(
    const wire::member_update_msg& self, const std::vector<seed_member>& seeds,
    time_point now)
    : self_{self.instance}
{
    for (const seed_member& seed : seeds)
    {
        if (seed.id == self_)
        {
            continue;
        }
        member_entry entry;
        entry.record.instance = seed.id;
        entry.record.address = seed.address;
        entry.record.state = wire::member_state::dead;
        entry.state_since = now;
        entry.seed = true;
        entries_.emplace(seed.id, std::move(entry));
        address_changes_.emplace_back(seed.id, seed.address);
    }
    member_entry own;
    own.record = self;
    own.state_since = now;
    entries_.emplace(self_, std::move(own));
}

wire::member_update_msg& member_table::own_record()
{
    // The caller may change the incarnation or the state, which the summary
    // depends on.
    summary_.reset();
    return entries_.at(self_).record;
}

const wire::member_update_msg& member_table::own_record() const
{
    return entries_.at(self_).record;
}

member_entry* member_table::find(instance_id id)
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

const member_entry* member_table::find(instance_id id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

merge_result
member_table::merge(const wire::member_update_msg& update, time_point now)
{
    if (update.incarnation == 0)
    {
        return merge_result::ignored;
    }
    const auto [position, inserted] = entries_.try_emplace(update.instance);
    member_entry& entry = position->second;
    if (!inserted && !supersedes(update, entry.record))
    {
        if (update.incarnation == entry.record.incarnation)
        {
            set_applied(update.instance, update.version);
        }
        return merge_result::ignored;
    }
    return replace(entry, update, now);
}

merge_result member_table::replace(
    member_entry& entry, const wire::member_update_msg& update, time_point now)
{
    summary_.reset();
    const bool same_process_continues =
        same_process(entry.record.incarnation, update.incarnation);
    const bool state_changed = entry.record.state != update.state;
    const configuration_version known_version = entry.record.version;
    const unix_millis known_since = entry.record.version_since_unix_ms;
    if (entry.record.address != update.address)
    {
        address_changes_.emplace_back(update.instance, update.address);
    }
    entry.record = update;
    if (same_process_continues && known_version > update.version)
    {
        entry.record.version = known_version;
        entry.record.version_since_unix_ms = known_since;
    }
    if (!same_process_continues || state_changed)
    {
        entry.state_since = now;
    }
    entry.counted = update.state != wire::member_state::left;
    return same_process_continues ? merge_result::changed
                                  : merge_result::new_process;
}

merge_result member_table::merge(
    const wire::member_delta& delta, bool from_itself, time_point now)
{
    member_entry* entry = find(delta.instance());
    if (entry == nullptr ||
        (delta.incarnation() > entry->record.incarnation &&
         !same_process(entry->record.incarnation, delta.incarnation())))
    {
        return merge_result::unknown;
    }
    wire::member_update_msg update = entry->record;
    update.incarnation = delta.incarnation();
    update.state = delta.state();
    update.version = delta.version();
    update.version_since_unix_ms = delta.version_since_unix_ms();
    update.ready = delta.ready();
    const merge_result result = merge(update, now);
    if (from_itself && delta.incarnation() == entry->record.incarnation)
    {
        entry->record.version = delta.version();
        entry->record.version_since_unix_ms = delta.version_since_unix_ms();
    }
    return result;
}

void member_table::set_applied(instance_id id, configuration_version version)
{
    member_entry* entry = find(id);
    if (id != self_ && entry != nullptr && version > entry->record.version)
    {
        entry->record.version = version;
        entry->record.version_since_unix_ms = 0;
    }
}

void member_table::set_last_evidence(instance_id id, time_point last_evidence)
{
    member_entry* entry = find(id);
    if (entry != nullptr &&
        (!entry->last_evidence || *entry->last_evidence < last_evidence))
    {
        entry->last_evidence = last_evidence;
    }
}

void member_table::set_state(
    instance_id id, wire::member_state state, time_point now)
{
    summary_.reset();
    member_entry& entry = entries_.at(id);
    entry.record.state = state;
    entry.state_since = now;
}

void member_table::forget(duration age, bool forget_dead, time_point now)
{
    for (auto i = entries_.begin(); i != entries_.end();)
    {
        member_entry& entry = i->second;
        const bool left = entry.record.state == wire::member_state::left;
        const bool dead =
            forget_dead && entry.record.state == wire::member_state::dead;
        const bool old = now - entry.state_since >= age;
        if (i->first == self_ || !old || !(left || dead))
        {
            ++i;
        }
        else if (entry.seed)
        {
            entry.counted = false;
            ++i;
        }
        else
        {
            i = entries_.erase(i);
        }
    }
}

void member_table::shift_state_times(duration pause)
{
    for (auto& [id, entry] : entries_)
    {
        entry.state_since = entry.state_since + pause;
    }
}

const member_summary& member_table::current_summary() const
{
    if (summary_)
    {
        return *summary_;
    }
    summary_.emplace();
    for (const auto& [id, entry] : entries_)
    {
        if (!entry.is_live())
        {
            continue;
        }
        ++summary_->live;
        summary_->suspects +=
            entry.record.state == wire::member_state::suspect ? 1 : 0;
        const incarnation_number process =
            entry.record.incarnation / same_process_range;
        summary_->view_digest ^=
            rendezvous_score(hash_name(entry.record.address) ^ process, id);
    }
    return *summary_;
}

std::uint64_t member_table::view_digest() const
{
    return current_summary().view_digest;
}

std::size_t member_table::live_count() const
{
    return current_summary().live;
}

std::size_t member_table::suspect_count() const
{
    return current_summary().suspects;
}

std::size_t member_table::counted() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const auto& item) { return item.second.counted; }));
}

std::vector<std::pair<instance_id, std::string>>
member_table::take_address_changes()
{
    return std::exchange(address_changes_, {});
}

} // namespace hickorygap
