#include "process/consensus/voter_list.hpp"

#include <algorithm>
#include <memory>

namespace hickorygap
{

const voter_identity* voter_list::find_voter(instance_id instance) const
{
    const auto found =
        std::ranges::find(voters, instance, &voter_identity::instance);
    return found == voters.end() ? nullptr : &*found;
}

bool voter_list::has_voter(instance_id instance, disk_id disk) const
{
    const voter_identity* found = find_voter(instance);
    return found != nullptr && disk != 0 && found->disk == disk;
}

bool voter_list::has_learner(instance_id instance) const
{
    return std::ranges::find(learners, instance) != learners.end();
}

std::vector<instance_id> voter_list::instances() const
{
    std::vector<instance_id> result;
    std::ranges::transform(
        voters, std::back_inserter(result), &voter_identity::instance);
    return result;
}

std::size_t voter_list::rank_of(instance_id instance) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        voters, [instance](const voter_identity& voter)
        { return voter.instance < instance; }));
}

const lost_disk* voter_list::find_lost_disk(instance_id instance) const
{
    const auto found = std::ranges::find(lost, instance, &lost_disk::instance);
    return found == lost.end() ? nullptr : &*found;
}

voter_list voter_list::with_voter(voter_identity voter) const
{
    voter_list result = without(voter.instance);
    result.voters.push_back(voter);
    std::ranges::sort(result.voters, {}, &voter_identity::instance);
    return result;
}

voter_list voter_list::with_learner(instance_id instance) const
{
    voter_list result = without(instance);
    result.learners.push_back(instance);
    std::ranges::sort(result.learners);
    return result;
}

voter_list voter_list::without(instance_id instance) const
{
    voter_list result = *this;
    std::erase_if(
        result.voters, [&](const voter_identity& voter)
        { return voter.instance == instance; });
    std::erase(result.learners, instance);
    std::erase_if(
        result.lost,
        [&](const lost_disk& entry) { return entry.instance == instance; });
    return result;
}

voter_list voter_list::with_half_quorums(bool allowed) const
{
    voter_list result = *this;
    result.half_quorums = allowed;
    return result;
}

wire::voters_entry_msg to_wire(const voter_list& list)
{
    wire::voters_entry_msg message;
    for (const voter_identity& voter : list.voters)
    {
        message.voters.push_back(voter.instance);
        message.disks.push_back(voter.disk);
    }
    message.learners = list.learners;
    message.half_quorums = list.half_quorums;
    for (const lost_disk& entry : list.lost)
    {
        auto item = std::make_unique<wire::lost_voter_msg>();
        item->instance = entry.instance;
        item->ticket = entry.ticket;
        message.lost.push_back(std::move(item));
    }
    return message;
}

voter_list from_wire(const wire::voters_entry_msg& message)
{
    voter_list list;
    for (std::size_t i = 0; i < message.voters.size(); ++i)
    {
        const disk_id disk = i < message.disks.size() ? message.disks[i] : 0;
        list.voters.push_back({message.voters[i], disk});
    }
    list.learners = message.learners;
    list.half_quorums = message.half_quorums;
    for (const auto& item : message.lost)
    {
        list.lost.push_back({item->instance, item->ticket});
    }
    return list;
}

std::size_t
count_changed_voters(const voter_list& left, const voter_list& right)
{
    // A voter with another disk counts once, since the old disk can no longer
    // vote. A majority before the change may contain it and have no voter in
    // common with one after it: see raft_node::joint_list.
    const auto missing_in = [](const voter_list& from, const voter_list& other)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            from.voters, [&](const voter_identity& voter)
            { return other.find_voter(voter.instance) == nullptr; }));
    };
    const auto with_new_disk = std::ranges::count_if(
        left.voters,
        [&](const voter_identity& voter)
        {
            const voter_identity* same = right.find_voter(voter.instance);
            return same != nullptr && same->disk != voter.disk;
        });
    return missing_in(left, right) + missing_in(right, left) +
           static_cast<std::size_t>(with_new_disk);
}

} // namespace hickorygap
