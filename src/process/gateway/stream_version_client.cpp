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
{
}

stream_version_client::~stream_version_client()
{
    for (auto& [number, item] : queries_)
    {
        loop_.cancel(item.timer);
    }
}

void stream_version_client::set_send(send_function send)
{
    send_ = std::move(send);
}

void stream_version_client::on_sent(
    stream_id stream, software_version_id version)
{
    if (own_.find(stream, loop_.now()) == version)
    {
        return;
    }
    own_.add(stream, version, loop_.now());
    if (send_)
    {
        wire::stream_sent_msg message;
        message.stream = stream;
        message.version = version;
        send_(make_payload(message));
    }
}

std::uint32_t
stream_version_client::find(stream_id stream, answer_function on_answer)
{
    const std::uint32_t number = ++last_number_;
    query& item = queries_[number];
    item.on_answer = std::move(on_answer);
    duration wait{0};
    const auto known = own_.find(stream, loop_.now());
    if (!known && send_)
    {
        wire::stream_query_msg message;
        message.number = number;
        message.stream = stream;
        item.open_answers = send_(make_payload(message));
        wait = item.open_answers > 0 ? answer_timeout : wait;
    }
    item.timer =
        loop_.after(wait, [this, number, known] { finish(number, known); });
    return number;
}

void stream_version_client::finish(
    std::uint32_t number, std::optional<software_version_id> found)
{
    auto item = queries_.extract(number);
    loop_.cancel(item.mapped().timer);
    item.mapped().on_answer(found);
}

void stream_version_client::cancel(std::uint32_t number)
{
    const auto found = queries_.find(number);
    if (found != queries_.end())
    {
        loop_.cancel(found->second.timer);
        queries_.erase(found);
    }
}

// A voter that has just started does not know the stream, so only the last
// negative answer counts.
void stream_version_client::on_answer(const wire::stream_answer_msg& answer)
{
    const auto found = queries_.find(answer.number);
    if (found == queries_.end())
    {
        return;
    }
    if (answer.version != 0)
    {
        finish(answer.number, answer.version);
    }
    else if (--found->second.open_answers == 0)
    {
        finish(answer.number, std::nullopt);
    }
}

} // namespace hickorygap
