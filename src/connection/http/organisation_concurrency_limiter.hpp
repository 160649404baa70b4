#ifndef HICKORYGAP_CONNECTION_HTTP_ORGANISATION_CONCURRENCY_LIMITER_HPP
#define HICKORYGAP_CONNECTION_HTTP_ORGANISATION_CONCURRENCY_LIMITER_HPP

#include "common/ids.hpp"

#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace hickorygap
{

// Limits the number of requests of each organisation that are served
// concurrently.
class organisation_concurrency_limiter
{
public:
    // RAII slot for one request; acquired() is false when the organisation is
    // at its limit.
    class slot
    {
    public:
        slot(
            organisation_concurrency_limiter& limiter,
            organisation_id organisation);
        ~slot();
        slot(const slot&) = delete;
        slot& operator=(const slot&) = delete;

        bool acquired() const
        {
            return acquired_;
        }

    private:
        organisation_concurrency_limiter& limiter_;
        organisation_id organisation_;
        bool acquired_;
    };

    explicit organisation_concurrency_limiter(std::size_t limit);

private:
    bool try_acquire(organisation_id organisation);
    void release(organisation_id organisation);

    const std::size_t limit_;
    std::mutex mutex_;
    std::unordered_map<organisation_id, std::size_t> in_flight_;
};

} // namespace hickorygap

#endif
