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

// Messages under way between instances. Loses, duplicates, delays and thereby
// reorders them as the seed decides.
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

    // Percentages of messages lost and sent twice.
    void set_faults(std::uint64_t lost, std::uint64_t duplicated)
    {
        lost_ = lost;
        duplicated_ = duplicated;
    }

    void send(instance_id from, const outgoing_message& message, time_point now)
    {
        if (is_cut(from, message.destination) ||
            random_below(random_, 100) < lost_)
        {
            return;
        }
        const int copies = random_below(random_, 100) < duplicated_ ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            // One message in eight is late by up to a second; the others take
            // up to 30 ms.
            const bool late = lost_ > 0 && random_below(random_, 8) == 0;
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
        // Messages already under way do not pass a new partition.
        std::erase_if(
            due, [this](const delivery& item)
            { return is_cut(item.from, item.to); });
        return due;
    }

    // The instance is heard and hears nothing, as with a link that is cut one
    // way.
    void deafen(instance_id instance)
    {
        deaf_.insert(instance);
    }

    // Cuts the instance off from all others, or reconnects it.
    void cut(instance_id instance)
    {
        cut_.insert(instance);
    }
    void heal(instance_id instance)
    {
        cut_.erase(instance);
        deaf_.erase(instance);
    }

private:
    bool is_cut(instance_id from, instance_id to) const
    {
        return from != to &&
               (cut_.contains(from) || cut_.contains(to) || deaf_.contains(to));
    }

    random_engine random_;
    std::uint64_t lost_ = 0;
    std::uint64_t duplicated_ = 0;
    std::multimap<time_point, delivery, std::less<>> queue_;
    std::set<instance_id> cut_;
    std::set<instance_id> deaf_;
};

} // namespace hickorygap::test

#endif
