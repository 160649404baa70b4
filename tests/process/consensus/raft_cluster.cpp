#include "process/consensus/raft_cluster.hpp"

#include <fmt/format.h>

namespace hickorygap::test
{

raft_cluster::raft_cluster(instance_id voters, std::uint64_t seed)
    : random_{seed}
    , network_{seed + 1}
{
    for (instance_id id = 1; id <= voters; ++id)
    {
        ids_.push_back(id);
    }
    for (const instance_id id : ids_)
    {
        members_[id].disk = std::make_shared<memory_disk>();
        restart(id);
    }
}

void raft_cluster::restart(instance_id id)
{
    member& self = members_.at(id);
    if (self.node)
    {
        return;
    }
    raft_options options;
    options.self = id;
    options.initial_voters = ids_;
    options.seed = random_();
    options.trailing_entries = 2;
    options.max_message_bytes = 200;
    self.storage = std::make_unique<memory_log_storage>(self.disk);
    const auto stored = self.storage->load();
    self.node = std::make_unique<raft_node>(options, *stored, now_);
    self.applied = self.node->snapshot_index();
}

void raft_cluster::crash(instance_id id)
{
    member& self = members_.at(id);
    self.node.reset();
    self.storage.reset();
    self.reads.clear();
    self.hung_steps = 0;
    self.slow_disk_steps = 0;
}

raft_node* raft_cluster::node(instance_id id)
{
    return members_.at(id).node.get();
}

raft_node* raft_cluster::leader()
{
    raft_node* best = nullptr;
    for (auto& [id, self] : members_)
    {
        if (self.node && self.node->is_leader() &&
            (best == nullptr || self.node->term() > best->term()))
        {
            best = self.node.get();
        }
    }
    return best;
}

void raft_cluster::propose(instance_id id)
{
    if (raft_node* target = node(id))
    {
        const auto index =
            target->propose(wire::entry_kind::ticket, {++last_value_}, now_);
        static_cast<void>(index);
    }
}

void raft_cluster::perform(std::uint8_t kind, std::uint8_t node)
{
    const instance_id id = ids_[node % ids_.size()];
    member& self = members_.at(id);
    switch (kind % 12)
    {
    case 0:
        crash(id);
        break;
    case 1:
        crash(id);
        restart(id);
        break;
    case 2:
        for (const instance_id other : ids_)
        {
            restart(other);
        }
        break;
    case 3:
        network_.cut(id);
        break;
    case 4:
        for (const instance_id other : ids_)
        {
            network_.heal(other);
        }
        break;
    case 5:
        self.hung_steps = 100;
        break;
    case 6:
        self.slow_disk_steps = 30;
        break;
    case 7:
        network_.set_faults(20, 20);
        break;
    case 8:
        self.disk->full = !self.disk->full;
        break;
    case 9:
        if (self.node && self.applied > 0)
        {
            self.node->compact(self.applied, {});
        }
        break;
    default:
        for (auto& [other, member] : members_)
        {
            propose(other);
            if (!member.node)
            {
                continue;
            }
            const auto read = member.node->read_index(now_);
            if (read.ok())
            {
                member.reads[*read] = committed();
            }
        }
        break;
    }
}

void raft_cluster::heal()
{
    network_.set_faults(0, 0);
    for (const instance_id id : ids_)
    {
        network_.heal(id);
        members_.at(id).hung_steps = 0;
        members_.at(id).slow_disk_steps = 0;
        members_.at(id).disk->full = false;
        restart(id);
    }
}

void raft_cluster::run(int steps)
{
    for (int i = 0; i < steps && violation_.empty(); ++i)
    {
        step();
    }
}

void raft_cluster::step()
{
    now_ = now_ + std::chrono::milliseconds{20};
    for (const auto& item : network_.take_due(now_))
    {
        const auto to = members_.find(item.to);
        if (to->second.node && to->second.hung_steps == 0)
        {
            to->second.node->receive(item.from, item.payload, now_);
        }
    }
    for (auto& [id, self] : members_)
    {
        if (!self.node)
        {
            continue;
        }
        if (self.hung_steps > 0)
        {
            --self.hung_steps;
            continue;
        }
        self.node->tick(now_);
        // A third of the syncs take longer than a step.
        if (self.slow_disk_steps > 0)
        {
            --self.slow_disk_steps;
        }
        else if (random_below(random_, 3) == 0)
        {
            self.slow_disk_steps = 1;
        }
        else
        {
            sync_disk(self);
        }
        for (const outgoing_message& message : self.node->take_outgoing())
        {
            network_.send(id, message, now_);
        }
        check_committed(id, self);
    }
    check_leaders();
    check_logs();
}

void raft_cluster::sync_disk(member& self)
{
    if (self.node->has_writes())
    {
        self.storage->write(self.node->take_writes());
    }
    if (self.storage->sync().ok())
    {
        self.node->on_synced(now_);
    }
    else
    {
        self.node->on_storage_failed(now_);
    }
}

void raft_cluster::check_committed(instance_id id, member& self)
{
    committed_batch batch = self.node->take_committed();
    if (batch.snapshot)
    {
        self.applied = batch.snapshot->index;
        ++installed_snapshots_;
    }
    for (wire::log_entry_msg& entry : batch.entries)
    {
        if (entry.index != self.applied + 1)
        {
            record_violation(fmt::format(
                "node {} applied entry {} after {}", id, entry.index,
                self.applied));
        }
        self.applied = entry.index;
        const auto [known, added] = committed_.try_emplace(entry.index, entry);
        if (!added && (known->second.term != entry.term ||
                       known->second.data != entry.data))
        {
            record_violation(fmt::format(
                "node {} committed a different entry {}", id, entry.index));
        }
    }
    for (const read_outcome& read : self.node->take_read_outcomes())
    {
        const std::uint64_t needed = self.reads[read.read];
        if (read.confirmed && self.applied < needed)
        {
            record_violation(fmt::format(
                "node {} confirmed a stale read at index {}, expected at least "
                "{}",
                id, self.applied, needed));
        }
        confirmed_reads_ += read.confirmed ? 1 : 0;
    }
}

void raft_cluster::check_leaders()
{
    std::uint64_t newest_term = 0;
    for (auto& [id, self] : members_)
    {
        if (!self.node || !self.node->is_leader())
        {
            continue;
        }
        newest_term = std::max(newest_term, self.node->term());
        const auto [known, added] = leaders_.try_emplace(self.node->term(), id);
        if (known->second != id)
        {
            record_violation(
                fmt::format("two leaders in term {}", self.node->term()));
        }
    }
    for (auto& [id, self] : members_)
    {
        if (self.node && self.node->holds_lease(now_) &&
            self.node->term() < newest_term)
        {
            record_violation(fmt::format(
                "node {} holds a lease although a newer leader exists", id));
        }
    }
}

// Log Matching: entries with the same index and term are equal, and so are all
// entries before them.
void raft_cluster::check_logs()
{
    for (auto& [left_id, left] : members_)
    {
        for (auto& [right_id, right] : members_)
        {
            if (left_id >= right_id || !left.node || !right.node)
            {
                continue;
            }
            const raft_log& one = left.node->entries();
            const raft_log& two = right.node->entries();
            const std::uint64_t first =
                std::max(one.base_index(), two.base_index()) + 1;
            bool must_match = false;
            for (std::uint64_t index =
                     std::min(one.last_index(), two.last_index());
                 index >= first; --index)
            {
                const bool same_term = one.term_at(index) == two.term_at(index);
                const bool same =
                    same_term && one.at(index).data == two.at(index).data;
                must_match = must_match || same_term;
                if (must_match && !same)
                {
                    record_violation(
                        fmt::format("logs differ before entry {}", index));
                }
            }
        }
    }
}

void raft_cluster::record_violation(std::string what)
{
    if (violation_.empty())
    {
        violation_ = std::move(what);
    }
}

} // namespace hickorygap::test
