#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace hickorygap
{

// Items that are piggybacked on messages a limited number of times, those
// sent least often first. The key is an instance id or a request fingerprint.
class gossip_queue
{
public:
    // Adds an item or resets its count. An item that was added as a full
    // record stays one until it is removed.
    void add(std::uint64_t key, bool full_record);
    void remove(std::uint64_t key);

    struct item
    {
        std::uint64_t key = 0;
        bool full_record = false;
    };

    using size_function = std::function<std::size_t(const item&)>;

    // Returns items whose sizes fit in the budget, in bytes, and counts them as
    // sent; the budget is reduced by their sizes. Items that have been sent
    // `limit` times are removed.
    std::vector<item>
    select(std::size_t& budget, unsigned limit, const size_function& size_of);

    // Counts all full records as sent once more, for a receiver that is known
    // to have them.
    void mark_full_records_sent(unsigned limit);

    std::size_t size() const
    {
        return items_.size();
    }

private:
    struct state
    {
        bool full_record = false;
        unsigned sent = 0;
    };

    std::map<std::uint64_t, state> items_;
};

} // namespace hickorygap

#endif
