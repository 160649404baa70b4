#ifndef HICKORYGAP_PROCESS_GATEWAY_STREAM_VERSION_CLIENT_HPP
#define HICKORYGAP_PROCESS_GATEWAY_STREAM_VERSION_CLIENT_HPP

#include "connection/event/event_loop.hpp"
#include "messages/codec.hpp"
#include "process/gateway/open_queries.hpp"
#include "request/dispatch/stream_versions.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace hickorygap
{

// The one place that knows which software version began a stream: tells the
// voters of this router's streams, and looks up those of others there.
class stream_version_client
{
public:
    // The loop must outlive the client.
    explicit stream_version_client(event_loop& loop);

    // Sends new streams to all linked voters and to the backups.
    using streams_function = std::function<void(const wire::streams_sent_msg&)>;

    // Sends a query to all linked voters; returns their number.
    using query_function =
        std::function<std::size_t(const wire::stream_query_msg&)>;
    void set_send(streams_function send_streams, query_function send_query);

    // The stream begins, or goes on here, with an event of a server of this
    // version. Must be called before the event is sent to the caller, so that
    // the message to the voters leaves first. A stream must be told with one
    // version only: when the message is lost, voters must not know another one.
    void on_begun(stream_id stream, software_version_id version);

    // The stream has ended in order, so this router need not remember it.
    void on_complete(stream_id stream);

    // Takes over streams of a router that has ended.
    void inherit(const wire::streams_sent_msg& streams);

    // The streams that this router remembers, for a voter that has not heard of
    // them; nullopt if there are none.
    std::optional<wire::streams_sent_msg> open_streams() const;

    // Finds the version that began the stream. The function gets nullopt when
    // nobody knows it after several queries, as another router may be telling
    // the voters just now, and at once if no voter is linked. It is called
    // after this returns. Returns the number of the query.
    std::uint32_t
    find(stream_id stream, open_queries::result_function on_result);

    // Withdraws a query; its function is not called any more.
    void cancel(std::uint32_t number);

    void on_answer(const wire::stream_answer_msg& answer);

private:
    void ask(std::uint32_t number, stream_id stream, int queries_left);

    event_loop& loop_;
    streams_function send_streams_;
    query_function send_query_;
    stream_versions own_;
    open_queries queries_;
};

} // namespace hickorygap

#endif
