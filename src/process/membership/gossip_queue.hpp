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
// sent least often first. Key is an instance or a fingerprint.
class gossip_queue
{
public:
    // Adds an item or starts its count again. A flagged item stays flagged
    // until it has been sent often enough.
    void add(std::uint64_t key, bool flagged);
    void remove(std::uint64_t key);

    struct item
    {
        std::uint64_t key = 0;
        bool flagged = false;
    };

    using size_function = std::function<std::size_t(const item&)>;

    // Takes items whose sizes fit in the budget and counts them as sent; the
    // budget is reduced. Items sent `limit` times are removed.
    std::vector<item>
    select(std::size_t& budget, unsigned limit, const size_function& size_of);

    // Counts all flagged items as sent once more, for a receiver that is known
    // to have them.
    void count_flagged(unsigned limit);

    std::size_t size() const
    {
        return items_.size();
    }

private:
    struct state
    {
        bool flagged = false;
        unsigned sent = 0;
    };

    std::map<std::uint64_t, state> items_;
};

} // namespace hickorygap

#endif
