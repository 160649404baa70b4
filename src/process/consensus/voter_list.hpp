#ifndef HICKORYGAP_PROCESS_CONSENSUS_VOTER_LIST_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_VOTER_LIST_HPP

#include "common/ids.hpp"
#include "messages/codec.hpp"

#include <cstdint>
#include <vector>

namespace hickorygap
{

// Random identifier of a data folder, generated when it is created. Zero means
// "none".
using disk_id = std::uint64_t;

// A voting member of the group. A process that lost its data folder restarts
// with another disk identifier and counts as another voter: its votes and its
// log are lost, so it must not vote as the former one.
struct voter_identity
{
    instance_id instance = 0;
    disk_id disk = 0;

    friend bool
    operator==(const voter_identity&, const voter_identity&) = default;
};

// A former voter that restarted without its data folder. Only a ticket with a
// higher number than `ticket` makes it a voter again.
struct lost_disk
{
    instance_id instance = 0;
    configuration_version ticket = 0;

    friend bool operator==(const lost_disk&, const lost_disk&) = default;
};

// Membership of the group as of one log entry: voters, and learners, which
// receive the log without voting.
struct voter_list
{
    std::vector<voter_identity> voters;
    std::vector<instance_id> learners;
    std::vector<lost_disk> lost;

    // Whether half of the voters of an even group are a quorum once a voter of
    // the other half has provably lost its disk (a half quorum). Set only while
    // all voters support that, because all must count by the same rule.
    bool half_quorums = false;

    friend bool operator==(const voter_list&, const voter_list&) = default;

    // Whether half quorums exist in this list.
    bool has_half_quorums() const
    {
        return half_quorums && voters.size() % 2 == 0;
    }

    // Returns the voter on that instance, or nullptr.
    const voter_identity* find_voter(instance_id instance) const;
    bool has_voter(instance_id instance, disk_id disk) const;
    bool has_learner(instance_id instance) const;

    // Instances of the voters, in the order of the list.
    std::vector<instance_id> instances() const;

    // Number of voters on instances with lower numbers.
    std::size_t rank_of(instance_id instance) const;

    // Returns the record of the instance's lost disk, or nullptr.
    const lost_disk* find_lost_disk(instance_id instance) const;

    // These return a copy with one change.
    voter_list with_voter(voter_identity voter) const;
    voter_list with_learner(instance_id instance) const;
    voter_list without(instance_id instance) const;
    voter_list with_half_quorums(bool allowed) const;
};

wire::voters_entry_msg to_wire(const voter_list& list);

// Entries without a disk get disk 0, which matches no disk.
voter_list from_wire(const wire::voters_entry_msg& message);

// Number of voters by which two lists differ: those whose instance is in only
// one of them, and those that are in both with different disks.
std::size_t
count_changed_voters(const voter_list& left, const voter_list& right);

} // namespace hickorygap

#endif
