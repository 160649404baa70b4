#include "process/gateway/stream_version_client.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

// Voters are asked again in this interval, and this often in all: a router that
// took the stream over from one that has ended tells them within that time.
constexpr duration query_interval = std::chrono::milliseconds{100};
constexpr int max_queries = 4;

} // namespace

stream_version_client::stream_version_client(event_loop& loop)
    : loop_{loop}
    , queries_{loop}
{
}

void stream_version_client::set_send(
    streams_function send_streams, query_function send_query)
{
    send_streams_ = std::move(send_streams);
    send_query_ = std::move(send_query);
}

void stream_version_client::on_begun(
    stream_id stream, software_version_id version)
{
    if (own_.find(stream, loop_.now()) == version)
    {
        return;
    }
    own_.add(stream, version, loop_.now());
    if (send_streams_)
    {
        wire::streams_sent_msg message;
        message.streams.emplace_back(stream, version);
        send_streams_(message);
    }
}

void stream_version_client::on_complete(stream_id stream)
{
    own_.remove(stream);
}

void stream_version_client::inherit(const wire::streams_sent_msg& streams)
{
    for (const wire::stream_version& item : streams.streams)
    {
        own_.add(item.stream(), item.version(), loop_.now());
    }
}

std::optional<wire::streams_sent_msg>
stream_version_client::open_streams() const
{
    wire::streams_sent_msg message;
    for (const auto& [stream, version] : own_.list(loop_.now()))
    {
        message.streams.emplace_back(stream, version);
    }
    return message.streams.empty() ? std::nullopt
                                   : std::optional{std::move(message)};
}

std::uint32_t stream_version_client::find(
    stream_id stream, open_queries::result_function on_result)
{
    const std::uint32_t number = queries_.add(std::move(on_result));
    if (const auto known = own_.find(stream, loop_.now()))
    {
        queries_.set_timeout(
            number, duration{0},
            [this, number, known] { queries_.finish(number, known); });
    }
    else
    {
        ask(number, stream, max_queries);
    }
    return number;
}

void stream_version_client::ask(
    std::uint32_t number, stream_id stream, int queries_left)
{
    std::size_t voters = 0;
    if (send_query_)
    {
        wire::stream_query_msg message;
        message.number = number;
        message.stream = stream;
        voters = send_query_(message);
    }
    queries_.set_timeout(
        number, voters > 0 ? query_interval : duration{0},
        [this, number, stream, queries_left = voters > 0 ? queries_left : 1]
        {
            // It may have been inherited meanwhile.
            const auto known = own_.find(stream, loop_.now());
            if (known || queries_left == 1)
            {
                queries_.finish(number, known);
                return;
            }
            ask(number, stream, queries_left - 1);
        });
}

void stream_version_client::cancel(std::uint32_t number)
{
    queries_.cancel(number);
}

// A negative answer decides nothing: the voter may be told of the stream just
// now.
void stream_version_client::on_answer(const wire::stream_answer_msg& answer)
{
    if (answer.version != 0)
    {
        queries_.finish(answer.number, answer.version);
    }
}

} // namespace hickorygap
