#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_MEMBER_TABLE_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_MEMBER_TABLE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap
{

// An instance from the settings through which a new process joins the fleet. It
// is contacted for as long as the process runs, also when it is dead or has
// left.
struct seed_member
{
    instance_id id = 0;

    // Control address, "host:port".
    std::string address;
};

// What one instance knows about another.
struct member_entry
{
    wire::member_update_msg record;

    // When this instance learnt of the current state.
    time_point state_since;

    // Latest time at which the member is known to have been running; nothing
    // without evidence.
    std::optional<time_point> last_evidence;

    // Whether it counts as a member of the fleet; see forget.
    bool counted = true;
    bool seed = false;

    bool is_live() const
    {
        return record.state == wire::member_state::alive ||
               record.state == wire::member_state::suspect;
    }
};

enum class merge_result
{
    // The update is older than the entry or already known.
    ignored,
    // State, incarnation or readiness changed.
    changed,
    // The record of a process that the table did not have.
    new_process,
    // A delta for a process that the table does not have; its full record is
    // needed first.
    unknown
};

// Values derived from all entries of a member_table. Cached, because every
// message carries or uses them.
struct member_summary
{
    std::uint64_t view_digest = 0;
    std::size_t live = 0;
    std::size_t suspects = 0;
};

// Records of all members, ordered by id, with the precedence rules of SWIM: a
// higher incarnation wins; within one incarnation left wins over dead, dead
// over suspect, suspect over alive.
class member_table
{
public:
    // Seeds start as dead with incarnation zero, so that any record from them
    // supersedes it.
    member_table(
        const wire::member_update_msg& self,
        const std::vector<seed_member>& seeds, time_point now);

    instance_id self() const
    {
        return self_;
    }
    wire::member_update_msg& own_record();
    const wire::member_update_msg& own_record() const;

    member_entry* find(instance_id id);
    const member_entry* find(instance_id id) const;
    const std::map<instance_id, member_entry>& entries() const
    {
        return entries_;
    }

    merge_result merge(const wire::member_update_msg& update, time_point now);

    // A delta reported by the member itself may also lower its version, unlike
    // set_applied.
    merge_result
    merge(const wire::member_delta& delta, bool from_itself, time_point now);

    // Records that the member has applied a version, as reported by a third
    // instance. Never lowers the version.
    void set_applied(instance_id id, configuration_version version);

    // Records that the member was running at that time.
    void set_last_evidence(instance_id id, time_point last_evidence);

    // Sets the state of a member in its current incarnation.
    void set_state(instance_id id, wire::member_state state, time_point now);

    // Removes old entries: members that left at least `age` ago and, when
    // `forget_dead` is set, members that died at least `age` ago. Seeds stay in
    // the table but no longer count as members.
    void forget(duration age, bool forget_dead, time_point now);

    // Shifts the times of all state changes forward by a pause of this process,
    // so that the pause does not count towards timeouts.
    void shift_state_times(duration pause);

    // Combined hash of the ids, processes and addresses of live members.
    std::uint64_t view_digest() const;

    // Numbers of live members (alive or suspect), this instance included, and
    // of suspects.
    std::size_t live_count() const;
    std::size_t suspect_count() const;

    // Number of members that count, this instance included: live ones and dead
    // ones that are not forgotten.
    std::size_t counted() const;

    // Addresses that are new or have changed since the last call.
    std::vector<std::pair<instance_id, std::string>> take_address_changes();

private:
    const member_summary& current_summary() const;
    merge_result replace(
        member_entry& entry, const wire::member_update_msg& update,
        time_point now);

    instance_id self_;
    std::map<instance_id, member_entry> entries_;
    std::vector<std::pair<instance_id, std::string>> address_changes_;
    // Reset by a change and computed again at the next use.
    mutable std::optional<member_summary> summary_;
};

// The fixed-size part of a record, without its address and failure domain.
wire::member_delta delta_of(const wire::member_update_msg& record);

} // namespace hickorygap

#endif
