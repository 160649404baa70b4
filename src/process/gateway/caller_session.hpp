#ifndef HICKORYGAP_PROCESS_GATEWAY_CALLER_SESSION_HPP
#define HICKORYGAP_PROCESS_GATEWAY_CALLER_SESSION_HPP

#include "connection/event/buffer_budget.hpp"
#include "connection/event/stream_connection.hpp"
#include "process/gateway/exchange.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace hickorygap
{

// One connection of a caller: reads its requests one after another and enforces
// the limits on their size and time.
class caller_session final : public connection_observer,
                             public exchange_caller,
                             public buffer_holder
{
public:
    // on_end is called once, when the session is over. It must not destroy the
    // session before the current handlers have returned.
    caller_session(
        gateway_context& context, const Poco::Net::StreamSocket& socket,
        std::function<void()> on_end);
    ~caller_session() override;

    // Shutdown has begun: closes the connection after the current response.
    void close_after_response();

    // Closes the connection if it is waiting for a request, unless its first
    // request may still be in transit.
    void close_if_idle();

    // The process exits: a request in progress gets its final response now.
    void stop();

    bool is_busy() const
    {
        return exchange_ != nullptr;
    }

    bool has_ended() const
    {
        return ended_;
    }

    // When the caller last sent or read something.
    time_point last_progress() const
    {
        return connection_->last_progress();
    }

    // Closes the connection, on which no request is being handled, because
    // there are too many.
    void close_for_another();

    void on_input() override;
    void on_drained() override;
    void on_end(connection_end end) override;

    void send(std::string_view bytes) override;
    std::size_t pending() const override;
    bool closes_after_response() const override;
    void on_buffers_changed() override;
    void on_response_complete() override;
    void on_response_aborted() override;

    void on_buffers_revoked() override;

private:
    void start_wait();

    // Longest time that the connection may now wait for a request.
    duration idle_limit() const;
    void read_requests();
    void resume_reading();
    void fail_request();
    void refuse_for_lack_of_room();
    void end_revoked();
    buffer_use use_of_buffers() const;
    std::size_t buffered_bytes() const;
    bool has_room_to_handle();
    bool is_output_full() const;
    void start_timer(duration limit);
    void on_timeout();
    const caller_limits& limits() const;
    void end_session();
    void await_output();
    bool has_output_progress();

    gateway_context& context_;
    std::function<void()> on_end_;
    std::unique_ptr<stream_connection> connection_;
    request_reader reader_;
    std::unique_ptr<exchange> exchange_;
    buffer_budget::share buffers_;

    // Start of the current wait, for a request or for the rest of one.
    time_point waiting_since_;

    // Idle timeout when the current wait for a request began. Callers rely on
    // it, although a newer configuration may have a shorter one.
    duration idle_timeout_{0};
    bool request_started_ = false;

    // Pending output at the last check, in bytes.
    std::size_t checked_output_ = 0;
    bool closing_ = false;
    bool last_request_ = false;
    bool has_served_ = false;
    bool ended_ = false;
    bool is_revoked_ = false;
    timer_id timer_ = 0;
    time_point timer_due_;
    timer_id revoke_timer_ = 0;
    timer_id next_request_timer_ = 0;
};

} // namespace hickorygap

#endif
