#ifndef HICKORYGAP_PROCESS_GATEWAY_STREAM_BACKUP_STORE_HPP
#define HICKORYGAP_PROCESS_GATEWAY_STREAM_BACKUP_STORE_HPP

#include "connection/link/link_connection.hpp"

#include <deque>
#include <functional>
#include <map>

namespace hickorygap
{

// Software versions of other routers' streams, kept by a backup router until
// their router falls silent. The voters are told of them then: the router may
// have been cut off from the voters without having noticed.
class stream_backup_store
{
public:
    // Tells the voters. False when none is linked.
    using tell_function = std::function<bool(const wire::streams_sent_msg&)>;

    // Takes streams that could not be told before their router fell silent.
    using inherit_function = std::function<void(const wire::streams_sent_msg&)>;

    // The loop must outlive the store.
    stream_backup_store(
        event_loop& loop, tell_function tell, inherit_function inherit);
    ~stream_backup_store();
    stream_backup_store(const stream_backup_store&) = delete;
    stream_backup_store& operator=(const stream_backup_store&) = delete;

    // A message of the router at the other end of the link.
    void
    receive(const link_connection* link, const wire::streams_sent_msg& message);

    // The link has ended; no effect on links without streams.
    void on_link_end(const link_connection* link);

private:
    struct kept_stream
    {
        wire::stream_version stream;
        time_point received_at;
    };
    struct sender
    {
        // Streams that the sender has told the voters, as far as it knows.
        std::deque<kept_stream> told;

        // Streams that nobody could tell the voters yet.
        std::deque<kept_stream> untold;
        time_point heard_at;
    };

    void check_silence();
    void release(sender& from);
    void drop_expired(sender& from) const;

    event_loop& loop_;
    tell_function tell_;
    inherit_function inherit_;
    std::map<const link_connection*, sender> senders_;
    timer_id timer_ = 0;
};

} // namespace hickorygap

#endif
