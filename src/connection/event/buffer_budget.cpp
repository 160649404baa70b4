#include "connection/event/buffer_budget.hpp"

#include "common/logging.hpp"

#include <string_view>
#include <tuple>
#include <utility>

namespace hickorygap
{

namespace
{

// A client that has neither sent nor read anything for this long makes no
// progress. Longer than the pauses of a client behind a link with losses.
constexpr duration stall_time = std::chrono::seconds{2};

// Requests of up to this size are received while there is room below the upper
// limit, so that large ones don't keep the usual ones out.
constexpr std::size_t small_request_bytes = std::size_t{64} * 1024;

// The upper limit, as a multiple of the limit.
constexpr std::size_t upper_numerator = 5;
constexpr std::size_t upper_denominator = 4;

constexpr duration log_interval = std::chrono::seconds{1};

constexpr std::array<std::string_view, buffer_use_count> use_names{
    "receiving", "handling", "sending"};

} // namespace

buffer_budget::buffer_budget(std::size_t limit_bytes)
    : limit_{limit_bytes}
{
}

buffer_budget::share::share(buffer_budget& budget, buffer_holder& holder)
    : budget_{budget}
    , holder_{holder}
    , position_{budget.shares_.insert(budget.shares_.end(), this)}
{
}

buffer_budget::share::~share()
{
    budget_.total_ -= bytes_;
    budget_.shares_.erase(position_);
}

void buffer_budget::share::set(
    buffer_use use, std::size_t bytes, time_point progress_at, time_point now)
{
    budget_.total_ += bytes;
    budget_.total_ -= bytes_;
    use_ = use;
    bytes_ = bytes;
    progress_at_ = progress_at;
    if (budget_.total_ > budget_.limit_)
    {
        budget_.make_room(now);
    }
}

void buffer_budget::make_room(time_point now)
{
    if (std::exchange(is_revoking_, true))
    {
        return;
    }
    while (total_ > limit_)
    {
        share* ended = choose(now);
        if (ended == nullptr)
        {
            break;
        }
        record_revoked(*ended, now);
        // The holder may set its share to what is left, or destroy it later.
        total_ -= std::exchange(ended->bytes_, 0);
        ended->holder_.on_buffers_revoked();
    }
    is_revoking_ = false;
}

// The connection to end; nullptr if none may be ended yet.
buffer_budget::share* buffer_budget::choose(time_point now) const
{
    const bool is_beyond_upper =
        total_ > limit_ / upper_denominator * upper_numerator;
    share* chosen = nullptr;
    std::tuple<bool, bool, std::size_t> chosen_order;
    for (share* each : shares_)
    {
        const bool is_stalled = now - each->progress_at_ >= stall_time;
        const bool is_receiving = each->use_ == buffer_use::receiving;
        const bool may_end =
            is_beyond_upper ||
            (is_receiving && each->bytes_ > small_request_bytes) ||
            (is_stalled && each->use_ != buffer_use::handling);
        const std::tuple order{
            is_stalled && each->use_ != buffer_use::handling, is_receiving,
            each->bytes_};
        if (may_end && each->bytes_ > 0 &&
            (chosen == nullptr || order > chosen_order))
        {
            chosen = each;
            chosen_order = order;
        }
    }
    return chosen;
}

void buffer_budget::record_revoked(const share& ended, time_point now)
{
    const auto use = static_cast<std::size_t>(ended.use_);
    ++revoked_[use];
    ++unlogged_;
    if (logged_at_ && now - *logged_at_ < log_interval)
    {
        return;
    }
    logged_at_ = now;
    log(log_level::warning, subsystem::network,
        "buffers_revoked connections={} last_use={} last_bytes={} total={} "
        "limit={}",
        std::exchange(unlogged_, 0), use_names[use], ended.bytes_, total_,
        limit_);
}

} // namespace hickorygap
