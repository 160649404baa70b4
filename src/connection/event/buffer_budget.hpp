#ifndef HICKORYGAP_CONNECTION_EVENT_BUFFER_BUDGET_HPP
#define HICKORYGAP_CONNECTION_EVENT_BUFFER_BUDGET_HPP

#include "common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

namespace hickorygap
{

// What the buffers of a connection hold.
enum class buffer_use
{
    // A request that has not arrived completely, or has not been handled.
    receiving,

    // A request that is being handled, and its response.
    handling,

    // A response that the client has not read.
    sending
};

inline constexpr std::size_t buffer_use_count = 3;

// A connection whose buffers its client fills.
class buffer_holder
{
public:
    buffer_holder() = default;
    buffer_holder(const buffer_holder&) = delete;
    buffer_holder& operator=(const buffer_holder&) = delete;
    virtual ~buffer_holder() = default;

    // There is no room for the buffers any more: ends the request and the
    // connection, and empties the buffers.
    virtual void on_buffers_revoked() = 0;
};

// Bounds the memory that the clients of a process can fill, over all their
// connections. When it is used up, the connections end whose end costs least:
// at first those without progress, then the largest requests that have not
// arrived completely. Small requests are received beyond that, and requests
// that are being handled end only at the upper limit.
class buffer_budget
{
public:
    explicit buffer_budget(std::size_t limit_bytes);

    // One connection's share of the budget.
    class share
    {
    public:
        share(buffer_budget& budget, buffer_holder& holder);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        // Records the bytes in the buffers, and when the client last sent or
        // read some of them. May revoke the buffers of any connection, this one
        // included, before it returns.
        void
        set(buffer_use use, std::size_t bytes, time_point progress_at,
            time_point now);

    private:
        friend class buffer_budget;

        buffer_budget& budget_;
        buffer_holder& holder_;
        std::list<share*>::iterator position_;
        buffer_use use_ = buffer_use::receiving;
        std::size_t bytes_ = 0;
        time_point progress_at_;
    };

    std::size_t limit() const
    {
        return limit_;
    }

    // Bytes in all buffers.
    std::size_t total() const
    {
        return total_;
    }

    // Connections that were ended for lack of room.
    std::uint64_t revoked(buffer_use use) const
    {
        return revoked_[static_cast<std::size_t>(use)];
    }

private:
    void make_room(time_point now);
    share* choose(time_point now) const;
    void record_revoked(const share& ended, time_point now);

    std::size_t limit_;
    std::size_t total_ = 0;
    std::list<share*> shares_;
    std::array<std::uint64_t, buffer_use_count> revoked_{};
    std::uint64_t unlogged_ = 0;
    std::optional<time_point> logged_at_;
    bool is_revoking_ = false;
};

} // namespace hickorygap

#endif
