#include "crowds/crowd_member.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hickorygap::test
{

crowd_member::crowd_member(
    event_loop& loop, const numeric_address& server, const crowd_script& script)
    : script_{script}
{
    if (script.chunk_bytes > 0)
    {
        chunk_ = fmt::format(
            "{:x}\r\n{}\r\n", script.chunk_bytes,
            std::string(script.chunk_bytes, 'b'));
    }
    auto connection = stream_connection::connect(loop, server, *this);
    if (!connection.ok())
    {
        has_ended_ = true;
        return;
    }
    connection_ = *std::move(connection);
}

crowd_member::~crowd_member()
{
    if (connection_)
    {
        connection_->close();
    }
}

bool crowd_member::is_settled() const
{
    return has_ended_ ||
           (is_connected_ &&
            body_sent_ + script_.missing_bytes >= script_.body_bytes &&
            connection_->pending_output() == 0);
}

void crowd_member::on_connected()
{
    is_connected_ = true;
    if (!script_.reads)
    {
        connection_->set_reading(false);
    }
    if (script_.head.empty())
    {
        return;
    }
    std::string head = script_.head;
    if (script_.chunk_bytes > 0)
    {
        head += "Transfer-Encoding: chunked\r\n\r\n";
    }
    else
    {
        head += fmt::format("Content-Length: {}\r\n\r\n", script_.body_bytes);
    }
    for (int i = 0; i < script_.requests; ++i)
    {
        connection_->write(head);
    }
    write_body();
}

// Writes one piece; the next one follows when it has been sent.
void crowd_member::write_body()
{
    const std::size_t last = script_.body_bytes - script_.missing_bytes;
    if (body_sent_ >= last || !connection_->is_open())
    {
        return;
    }
    const std::size_t piece = std::min(script_.piece_bytes, last - body_sent_);
    std::string text;
    if (chunk_.empty())
    {
        text.assign(piece, 'b');
        body_sent_ += piece;
    }
    else
    {
        while (text.size() < piece && body_sent_ < last)
        {
            text += chunk_;
            body_sent_ += script_.chunk_bytes;
        }
        if (body_sent_ >= script_.body_bytes)
        {
            text += "0\r\n\r\n";
        }
    }
    connection_->write(text);
}

void crowd_member::on_input()
{
    // The server has responded, so it reads no more of this request.
    connection_->input().clear();
    has_ended_ = true;
}

void crowd_member::on_drained()
{
    if (!has_ended_)
    {
        write_body();
    }
}

void crowd_member::on_end(connection_end /*end*/)
{
    has_ended_ = true;
}

} // namespace hickorygap::test
