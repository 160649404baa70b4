#ifndef HICKORYGAP_REQUEST_BLAME_SHARED_BLAME_TRACKER_HPP
#define HICKORYGAP_REQUEST_BLAME_SHARED_BLAME_TRACKER_HPP

#include "request/blame/blame_tracker.hpp"

#include <mutex>
#include <utility>

namespace hickorygap
{

// The blame tracker of one instance, shared by its traffic threads and its
// control thread.
class shared_blame_tracker
{
public:
    explicit shared_blame_tracker(blame_options options = {})
        : tracker_(options)
    {
    }

    // Calls the function with the tracker while holding the lock.
    template <typename Function>
    auto with(Function&& function)
    {
        const std::lock_guard lock{mutex_};
        return std::forward<Function>(function)(tracker_);
    }

    template <typename Function>
    auto with(Function&& function) const
    {
        const std::lock_guard lock{mutex_};
        return std::forward<Function>(function)(tracker_);
    }

private:
    mutable std::mutex mutex_;
    blame_tracker tracker_;
};

} // namespace hickorygap

#endif
