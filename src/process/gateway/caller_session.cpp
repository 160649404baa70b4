#include "process/gateway/caller_session.hpp"

#include "common/logging.hpp"
#include "common/text.hpp"
#include "connection/h1/http_endpoint.hpp"
#include "connection/h1/message_framing.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPResponse;

// Bytes of pipelined requests that are buffered while a request is in progress.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

// No further request is read while more bytes than this wait for the caller.
constexpr std::size_t max_pending_bytes = std::size_t{128} * 1024;

// Retry-After of requests for which there was no memory. The stalled ones that
// take it are ended within this time.
constexpr duration retry_after_no_room = std::chrono::seconds{1};

// After the last response, a caller that does not read it for this long is
// disconnected.
constexpr duration output_timeout = std::chrono::seconds{5};

// Time limit for a request body after its head, for callers that stop midway.
constexpr duration body_timeout = std::chrono::seconds{30};

// A new connection may wait this long for its first request, also when the idle
// timeout is shorter: the request may still be on its way.
constexpr duration new_connection_timeout = std::chrono::seconds{3};

// A connection with bytes that were not read yet is not idle. They are read in
// the next iteration of the event loop.
constexpr duration unread_input_delay = std::chrono::milliseconds{10};

// During shutdown, a new connection may wait this long for its first request;
// callers send it immediately after they connect.
constexpr duration first_request_timeout = std::chrono::milliseconds{800};

} // namespace

caller_session::caller_session(
    gateway_context& context, const Poco::Net::StreamSocket& socket,
    std::function<void()> on_end)
    : context_{context}
    , on_end_{std::move(on_end)}
    , connection_{std::make_unique<stream_connection>(
          context.loop(), socket, *this)}
    , buffers_{context.buffers(), *this}
{
    start_wait();
}

caller_session::~caller_session()
{
    context_.loop().cancel(timer_);
    context_.loop().cancel(next_request_timer_);
    context_.loop().cancel(revoke_timer_);
}

const caller_limits& caller_session::limits() const
{
    static const caller_limits defaults;
    const auto configuration = context_.configuration();
    return configuration ? configuration->limits() : defaults;
}

void caller_session::start_wait()
{
    waiting_since_ = context_.loop().now();
    idle_timeout_ = limits().idle_timeout;
    const duration limit = idle_limit();
    if (timer_ == 0 || timer_due_ > waiting_since_ + limit)
    {
        start_timer(limit);
    }
}

duration caller_session::idle_limit() const
{
    const duration limit = std::max(idle_timeout_, limits().idle_timeout);
    return has_served_ ? limit : std::max(limit, new_connection_timeout);
}

void caller_session::start_timer(duration limit)
{
    context_.loop().cancel(timer_);
    timer_due_ = context_.loop().now() + limit;
    timer_ = context_.loop().after(limit, [this] { on_timeout(); });
}

// There is one timer for each connection. When it fires after the wait has
// restarted, it is re-armed, which is cheaper than to restart it with each
// request. It rests while a request is handled.
void caller_session::on_timeout()
{
    timer_ = 0;
    if (ended_)
    {
        return;
    }
    if (exchange_ != nullptr)
    {
        return;
    }
    const duration limit = !request_started_    ? idle_limit()
                           : reader_.has_head() ? body_timeout
                                                : limits().header_timeout;
    if (!request_started_ && !is_output_full() &&
        connection_->has_unread_input())
    {
        start_timer(unread_input_delay);
        return;
    }
    if (!request_started_ && has_output_progress())
    {
        start_timer(std::max(limit, output_timeout));
        return;
    }
    const duration waited = context_.loop().now() - waiting_since_;
    if (waited < limit)
    {
        start_timer(limit - waited);
        return;
    }
    if (request_started_)
    {
        http_response answer;
        answer.status = HTTPResponse::HTTP_REQUEST_TIMEOUT;
        connection_->write(encode_response(answer, true));
        connection_->close_after_output();
    }
    else
    {
        connection_->close();
    }
    end_session();
}

void caller_session::close_after_response()
{
    closing_ = true;
}

void caller_session::close_if_idle()
{
    const bool may_get_first_request =
        !has_served_ &&
        context_.loop().now() - waiting_since_ < first_request_timeout;
    if (!ended_ && exchange_ == nullptr && !request_started_ &&
        !may_get_first_request && !connection_->has_unread_input())
    {
        // The caller may still be reading the last response.
        connection_->close_after_output();
        end_session();
    }
}

void caller_session::stop()
{
    closing_ = true;
    if (exchange_ != nullptr)
    {
        exchange_->stop();
    }
}

void caller_session::on_input()
{
    if (ended_)
    {
        connection_->input().clear();
        return;
    }
    if (exchange_ != nullptr)
    {
        // Reading continues in order to notice when the caller disconnects.
        if (connection_->input().size() > max_pipelined_bytes)
        {
            connection_->set_reading(false);
        }
        on_buffers_changed();
        return;
    }
    read_requests();
    on_buffers_changed();
}

void caller_session::read_requests()
{
    if (ended_ || !connection_->is_open())
    {
        return;
    }
    if (is_output_full())
    {
        connection_->set_reading(false);
        return;
    }
    if (!request_started_ && !connection_->input().empty())
    {
        request_started_ = true;
        waiting_since_ = context_.loop().now();
        if (!reader_.has_head() &&
            !find_head_end(connection_->input()).has_value())
        {
            start_timer(limits().header_timeout);
        }
    }
    switch (reader_.read(
        connection_->input(), {limits().header_bytes, limits().body_bytes}))
    {
    case request_reader::state::incomplete:
        if (reader_.take_continue_request())
        {
            connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    case request_reader::state::failed:
        fail_request();
        return;
    case request_reader::state::complete:
        break;
    }
    if (!has_room_to_handle())
    {
        return;
    }
    request_started_ = false;
    received_request request = reader_.take();
    last_request_ = !keeps_open(*request.head);
    has_served_ = true;
    exchange_ = std::make_unique<exchange>(context_, *this, std::move(request));
    exchange_->start();
}

// The connection is closed because the start of the next request is unknown.
void caller_session::fail_request()
{
    log(log_level::info, subsystem::http, "request_unreadable status={}",
        static_cast<int>(reader_.failure()));
    http_response answer;
    answer.status = reader_.failure();
    connection_->write(encode_response(answer, true));
    connection_->close_after_output();
    end_session();
}

// A connection that is no longer needed for anything else makes room for
// others.
void caller_session::close_for_another()
{
    if (!ended_)
    {
        connection_->close();
        end_session();
    }
}

buffer_use caller_session::use_of_buffers() const
{
    if (exchange_ != nullptr)
    {
        return buffer_use::handling;
    }
    return connection_->pending_output() > 0 ? buffer_use::sending
                                             : buffer_use::receiving;
}

std::size_t caller_session::buffered_bytes() const
{
    return connection_->buffered_bytes() + reader_.buffered_bytes() +
           (exchange_ == nullptr ? 0 : exchange_->buffered_bytes());
}

void caller_session::on_buffers_changed()
{
    if (!is_revoked_)
    {
        buffers_.set(
            use_of_buffers(), buffered_bytes(), connection_->last_progress(),
            context_.loop().now());
    }
}

// Whether there is room for the request that has arrived and for the copy that
// is sent to a server.
bool caller_session::has_room_to_handle()
{
    buffers_.set(
        buffer_use::receiving, buffered_bytes() + reader_.buffered_bytes(),
        connection_->last_progress(), context_.loop().now());
    return !ended_;
}

bool caller_session::is_output_full() const
{
    return connection_->pending_output() > max_pending_bytes;
}

// A request that is being handled is ended later, because its own code may have
// been called before this.
void caller_session::on_buffers_revoked()
{
    is_revoked_ = true;
    if (ended_)
    {
        connection_->close();
    }
    else if (use_of_buffers() == buffer_use::receiving)
    {
        refuse_for_lack_of_room();
    }
    else
    {
        revoke_timer_ =
            context_.loop().after(duration{0}, [this] { end_revoked(); });
    }
}

// Nothing of the request has been sent to a server.
void caller_session::refuse_for_lack_of_room()
{
    if (!request_started_)
    {
        close_for_another();
        return;
    }
    http_response answer;
    answer.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    if (reader_.head() != nullptr)
    {
        const auto call = context_.dialect().decode_request(*reader_.head());
        if (call.ok())
        {
            answer.fields =
                context_.dialect().response_fields(call->attempt_id);
        }
    }
    answer.fields.emplace_back(
        std::string{retry_after_field},
        fmt::format(
            "{:.2f}",
            std::chrono::duration<double>(retry_after_no_room).count()));
    answer.content_type = "text/plain";
    answer.body = "there is no memory for the request; it has not run";
    reader_.discard();
    release_memory(connection_->input());
    connection_->write(encode_response(answer, true));
    connection_->close_after_output();
    end_session();
}

void caller_session::end_revoked()
{
    revoke_timer_ = 0;
    if (exchange_ != nullptr)
    {
        closing_ = true;
        exchange_->stop();
    }
    connection_->close();
    end_session();
}

void caller_session::on_drained()
{
    on_buffers_changed();
    if (exchange_ != nullptr)
    {
        exchange_->on_caller_drained();
    }
    else if (!ended_)
    {
        resume_reading();
    }
}

void caller_session::on_end(connection_end /*end*/)
{
    if (exchange_ != nullptr)
    {
        exchange_->cancel();
    }
    end_session();
}

void caller_session::send(std::string_view bytes)
{
    connection_->write(bytes);
    on_buffers_changed();
}

std::size_t caller_session::pending() const
{
    return connection_->pending_output();
}

bool caller_session::closes_after_response() const
{
    // Without an idle time the connection would be closed at once.
    return closing_ || last_request_ || limits().idle_timeout == duration{0};
}

void caller_session::on_response_complete()
{
    context_.loop().destroy_later(std::move(exchange_));
    if (closes_after_response())
    {
        connection_->close_after_output();
        end_session();
        return;
    }
    start_wait();
    on_buffers_changed();
    resume_reading();
}

void caller_session::resume_reading()
{
    connection_->set_reading(true);
    if (!connection_->input().empty())
    {
        // Deferred, so that pipelined requests do not recurse.
        context_.loop().cancel(next_request_timer_);
        next_request_timer_ = context_.loop().after(
            duration{0}, [this] { connection_->deliver_input(); });
    }
}

void caller_session::on_response_aborted()
{
    context_.loop().destroy_later(std::move(exchange_));
    connection_->close();
    end_session();
}

void caller_session::end_session()
{
    if (std::exchange(ended_, true))
    {
        return;
    }
    context_.loop().cancel(timer_);
    checked_output_ = 0;
    await_output();
}

// Ends the session when the rest of the last response has been sent, or the
// caller no longer reads it.
void caller_session::await_output()
{
    timer_ = 0;
    if (!connection_->is_open() || !has_output_progress())
    {
        on_end_();
        return;
    }
    timer_ = context_.loop().after(output_timeout, [this] { await_output(); });
}

// Whether the caller has read some of the pending output since the last call.
bool caller_session::has_output_progress()
{
    const std::size_t pending = connection_->pending_output();
    return std::exchange(checked_output_, pending) != pending && pending > 0;
}

} // namespace hickorygap
