#include "process/gateway/stream_version_client.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

// Time in which voters answer. Some may be lost, and their links still stand.
constexpr duration answer_timeout = std::chrono::milliseconds{300};

} // namespace

stream_version_client::stream_version_client(event_loop& loop)
    : loop_{loop}
    , queries_{loop}
{
}

void stream_version_client::set_send(send_function send)
{
    send_ = std::move(send);
}

void stream_version_client::on_begun(
    stream_id stream, software_version_id version)
{
    if (own_.find(stream, loop_.now()) == version)
    {
        return;
    }
    own_.add(stream, version, loop_.now());
    if (send_)
    {
        wire::streams_sent_msg message;
        message.streams.emplace_back(stream, version);
        send_(make_payload(message));
    }
}

void stream_version_client::on_complete(stream_id stream)
{
    own_.remove(stream);
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
    const auto known = own_.find(stream, loop_.now());
    std::size_t voters = 0;
    if (!known && send_)
    {
        wire::stream_query_msg message;
        message.number = number;
        message.stream = stream;
        voters = send_(make_payload(message));
        queries_.set_recipients(number, voters);
    }
    queries_.set_timeout(
        number, voters > 0 ? answer_timeout : duration{0},
        [this, number, known] { queries_.finish(number, known); });
    return number;
}

void stream_version_client::cancel(std::uint32_t number)
{
    queries_.cancel(number);
}

// A voter that has just started does not know the stream, so only the last
// negative answer counts.
void stream_version_client::on_answer(const wire::stream_answer_msg& answer)
{
    queries_.on_answer(
        answer.number,
        answer.version == 0 ? std::nullopt : std::optional{answer.version});
}

} // namespace hickorygap
