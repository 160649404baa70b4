#ifndef HICKORYGAP_PROCESS_CONTROL_PENDING_RESULT_HPP
#define HICKORYGAP_PROCESS_CONTROL_PENDING_RESULT_HPP

#include "common/time.hpp"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace hickorygap
{

// A result that the control thread sets once and another thread waits for.
template <typename Result>
class pending_result
{
public:
    // The first call sets the result; later calls have no effect.
    void set(Result result)
    {
        {
            const std::lock_guard lock{mutex_};
            if (result_)
            {
                return;
            }
            result_.emplace(std::move(result));
        }
        ready_.notify_all();
    }

    // Waits for at most `limit`; nothing when the result is still not set.
    std::optional<Result> wait_for(duration limit)
    {
        std::unique_lock lock{mutex_};
        ready_.wait_for(lock, limit, [this] { return result_.has_value(); });
        return result_;
    }

    // Waits without a time limit. This ends because the control thread sets
    // all results that are still pending when it stops.
    Result wait()
    {
        std::unique_lock lock{mutex_};
        ready_.wait(lock, [this] { return result_.has_value(); });
        return *result_;
    }

private:
    std::mutex mutex_;
    std::condition_variable ready_;
    std::optional<Result> result_;
};

} // namespace hickorygap

#endif
