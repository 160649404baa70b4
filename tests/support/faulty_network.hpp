#ifndef HICKORYGAP_TESTS_SUPPORT_FAULTY_NETWORK_HPP
#define HICKORYGAP_TESTS_SUPPORT_FAULTY_NETWORK_HPP

#include "common/random.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hickorygap::test
{

// Simulated network between instances. Loses, duplicates, delays and thereby
// reorders messages at random, reproducibly for a seed.
class faulty_network
{
public:
    struct delivery
    {
        instance_id from;
        instance_id to;
        wire::payloadUnion payload;
    };

    explicit faulty_network(std::uint64_t seed)
        : random_{seed}
    {
    }

    // Percentages, 0 to 100, of messages that are lost and that are duplicated.
    void
    set_faults(std::uint64_t lost_percent, std::uint64_t duplicated_percent)
    {
        lost_percent_ = lost_percent;
        duplicated_percent_ = duplicated_percent;
    }

    void send(instance_id from, const outgoing_message& message, time_point now)
    {
        if (is_cut(from, message.destination) ||
            random_below(random_, 100) < lost_percent_)
        {
            return;
        }
        const int copies =
            random_below(random_, 100) < duplicated_percent_ ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            // With losses enabled, one message in eight takes up to 1 s, which
            // reorders it; the others take up to 30 ms.
            const bool late =
                lost_percent_ > 0 && random_below(random_, 8) == 0;
            const duration delay = std::chrono::milliseconds{
                random_below(random_, late ? 1000 : 30)};
            queue_.emplace(
                now + delay,
                delivery{from, message.destination, message.payload});
        }
    }

    std::vector<delivery> take_due(time_point now)
    {
        std::vector<delivery> due;
        while (!queue_.empty() && queue_.begin()->first <= now)
        {
            due.push_back(std::move(queue_.begin()->second));
            queue_.erase(queue_.begin());
        }
        // A partition also drops the messages that were in flight when it
        // began.
        std::erase_if(
            due, [this](const delivery& item)
            { return is_cut(item.from, item.to); });
        return due;
    }

    // Drops all messages to the instance but none from it: a one-way partition.
    void block_incoming(instance_id instance)
    {
        receive_blocked_.insert(instance);
    }

    // Partitions these instances from all others, but not from each other,
    // until join.
    void split_off(std::set<instance_id> instances)
    {
        split_off_ = std::move(instances);
    }
    void join()
    {
        split_off_.clear();
    }

    // Partitions the instance from all others; heal ends both kinds of
    // partition.
    void cut(instance_id instance)
    {
        partitioned_.insert(instance);
    }
    void heal(instance_id instance)
    {
        partitioned_.erase(instance);
        receive_blocked_.erase(instance);
    }

private:
    bool is_cut(instance_id from, instance_id to) const
    {
        return from != to &&
               (partitioned_.contains(from) || partitioned_.contains(to) ||
                receive_blocked_.contains(to) ||
                split_off_.contains(from) != split_off_.contains(to));
    }

    random_engine random_;
    std::uint64_t lost_percent_ = 0;
    std::uint64_t duplicated_percent_ = 0;
    std::multimap<time_point, delivery, std::less<>> queue_;
    std::set<instance_id> partitioned_;
    std::set<instance_id> receive_blocked_;
    std::set<instance_id> split_off_;
};

} // namespace hickorygap::test

#endif
