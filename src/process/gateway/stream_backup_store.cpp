#include "process/gateway/stream_backup_store.hpp"

#include "common/logging.hpp"
#include "request/dispatch/stream_versions.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

// A router notices the loss of its voters within this time, and then has its
// streams told at once.
constexpr duration told_retention_period = std::chrono::seconds{6};

// Two heartbeats, one a second, may be late.
constexpr duration silence_limit = std::chrono::milliseconds{2500};

constexpr duration check_interval = std::chrono::milliseconds{250};

} // namespace

stream_backup_store::stream_backup_store(
    event_loop& loop, tell_function tell, inherit_function inherit)
    : loop_{loop}
    , tell_{std::move(tell)}
    , inherit_{std::move(inherit)}
{
}

stream_backup_store::~stream_backup_store()
{
    loop_.cancel(timer_);
}

void stream_backup_store::receive(
    const link_connection* link, const wire::streams_sent_msg& message)
{
    const time_point now = loop_.now();
    sender& from = senders_[link];
    from.heard_at = now;
    if (message.is_backup)
    {
        // The sender reaches the voters again and tells them itself.
        from.untold.clear();
    }
    if (message.is_backup || (!message.streams.empty() && !tell_(message)))
    {
        for (const wire::stream_version& stream : message.streams)
        {
            (message.is_backup ? from.told : from.untold)
                .push_back({stream, now});
        }
    }
    drop_expired(from);
    if (timer_ == 0)
    {
        check_silence();
    }
}

void stream_backup_store::drop_expired(sender& from) const
{
    const auto drop = [this](std::deque<kept_stream>& streams, duration age)
    {
        while (!streams.empty() &&
               loop_.now() - streams.front().received_at > age)
        {
            streams.pop_front();
        }
    };
    drop(from.told, told_retention_period);
    drop(from.untold, stream_retention_period);
}

void stream_backup_store::on_link_end(const link_connection* link)
{
    auto item = senders_.extract(link);
    if (!item.empty())
    {
        release(item.mapped());
    }
}

void stream_backup_store::check_silence()
{
    timer_ = 0;
    for (auto& [link, from] : senders_)
    {
        if (loop_.now() - from.heard_at > silence_limit)
        {
            release(from);
        }
    }
    if (!senders_.empty())
    {
        timer_ = loop_.after(check_interval, [this] { check_silence(); });
    }
}

void stream_backup_store::release(sender& from)
{
    wire::streams_sent_msg message;
    for (auto* streams : {&from.told, &from.untold})
    {
        for (const kept_stream& item : std::exchange(*streams, {}))
        {
            message.streams.push_back(item.stream);
        }
    }
    if (message.streams.empty())
    {
        return;
    }
    const bool told = tell_(message);
    log(log_level::info, subsystem::routing,
        "backup_streams_released streams={} told={}", message.streams.size(),
        told);
    if (!told)
    {
        inherit_(message);
    }
}

} // namespace hickorygap
