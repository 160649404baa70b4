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

// Instance that is contacted for ever, whatever is known of it.
struct seed_member
{
    instance_id id = 0;

    // Control address, "host:port".
    std::string address;
};

// What one instance knows of another.
struct member_entry
{
    wire::member_update_msg record;

    // When the present state was learnt.
    time_point state_since;

    // Latest time at which the member certainly ran; nothing without proof.
    std::optional<time_point> proof;

    // Whether it counts as a member of the fleet, see forget.
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
    // Old or already known.
    ignored,
    // State, incarnation or readiness changed.
    changed,
    // A process that the table did not know, with its address.
    new_process,
    // A change of a process that the table does not know; the full record is
    // needed.
    unknown
};

// Values derived from all entries of a member_table, which every message
// needs.
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
    // Seeds start as dead with incarnation zero: any word from them wins.
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

    // A change reported by the member itself may lower its version; see
    // set_applied.
    merge_result
    merge(const wire::member_delta& delta, bool from_itself, time_point now);

    // Notes that the member has applied a version, by word of a third one.
    void set_applied(instance_id id, configuration_version version);

    // Notes that the member ran at that time.
    void set_proof(instance_id id, time_point proof);

    // Sets the state of a member in its present incarnation.
    void set_state(instance_id id, wire::member_state state, time_point now);

    // Removes old entries: members that left at least `age` ago, and, when
    // `forget_dead` is set, members that died at least `age` ago. Seeds stay
    // but no longer count.
    void forget(duration age, bool forget_dead, time_point now);

    // Moves the times of all state changes, after a pause of this process.
    void postpone(duration pause);

    // Combined hash of the ids, processes and addresses of live members.
    std::uint64_t view_digest() const;

    // Numbers of live members, this instance included, and of suspects.
    std::size_t live_count() const;
    std::size_t suspect_count() const;

    // Members that count, this instance included: live ones and dead ones
    // that are not forgotten.
    std::size_t counted() const;

    // Addresses that changed since the last call.
    std::vector<std::pair<instance_id, std::string>> take_address_changes();

private:
    const member_summary& current_summary() const;
    merge_result replace(
        member_entry& entry, const wire::member_update_msg& update,
        time_point now);

    instance_id self_;
    std::map<instance_id, member_entry> entries_;
    std::vector<std::pair<instance_id, std::string>> address_changes_;
    // Empty after a change, until the next use.
    mutable std::optional<member_summary> summary_;
};

// The fixed-size form of a record.
wire::member_delta delta_of(const wire::member_update_msg& record);

} // namespace hickorygap

#endif
