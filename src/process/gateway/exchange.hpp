#ifndef HICKORYGAP_PROCESS_GATEWAY_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_GATEWAY_EXCHANGE_HPP

#include "connection/h1/request_reader.hpp"
#include "process/gateway/backend_attempt.hpp"
#include "process/gateway/gateway_context.hpp"
#include "process/gateway/request_outcome.hpp"
#include "process/gateway/response_relay.hpp"
#include "request/dispatch/retry_rules.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// One request of a caller, from its arrival to its final response: finds the
// route, chooses backend servers, relays the response and decides on retries.
class exchange final : public response_observer
{
public:
    exchange(
        gateway_context& context, exchange_caller& caller,
        received_request request);
    ~exchange() override;

    // Handles the request; may send the response before it returns.
    void start();

    // The process exits: sends the final response now, whatever it is.
    void stop();

    // The caller has disconnected.
    void cancel();

    // Bytes of the request and of what has arrived of the response.
    std::size_t buffered_bytes() const;

    // The output to the caller has been written.
    void on_caller_drained();

    void on_response() override;
    void on_connection_lost(connection_end end) override;

private:
    // Receives the response to the held attempt.
    class held_attempt_observer final : public response_observer
    {
    public:
        explicit held_attempt_observer(exchange& owner)
            : owner_{owner}
        {
        }

        void on_response() override
        {
            owner_.on_held_response();
        }

        void on_connection_lost(connection_end /*end*/) override
        {
            owner_.on_held_connection_lost();
        }

    private:
        exchange& owner_;
    };

    bool waits_for_startup();
    void route_request();
    bool find_route();
    void choose_service();
    void choose_service_of(software_version_id version);
    void identify_stream();
    void find_stream_version();
    void begin_dispatch();
    dispatch_choice choose_backend(
        std::optional<backend_server_id> permitted,
        std::vector<backend_server_id>& skipped);
    dispatch_choice
    choose_permitted(std::optional<backend_server_id> permitted);
    void dispatch();
    void send_to(const dispatch_choice& choice);
    void withdraw_queries();
    void send_attempt(const dispatch_choice& choice);
    void set_deadline();
    bool is_overdue() const;
    void on_deadline();
    void start_attempt_timer();
    void restart_attempt_timer(duration limit);
    void on_progress_timeout();
    void record_progress();
    void record_stream_version();
    void settle_answer();

    void hold_attempt();
    void resume_held_attempt();
    void release_held_attempt(dispatch_outcome outcome);
    void limit_overlap(duration limit);
    void on_held_response();
    bool held_attempt_goes_on();
    void on_held_connection_lost();

    bool read_head();
    void try_another_connection();
    void record_announcements();
    bool is_own_response() const;
    void relay_whole_response();
    void relay_events();

    void attempt_failed(dispatch_outcome outcome, bool may_have_run);
    void retry(dispatch_outcome outcome);
    bool is_quarantined();
    bool take_retry();
    void give_up(dispatch_outcome outcome);
    void end_attempt(dispatch_outcome outcome);
    bool is_of_current_start(const backend_attempt& attempt) const;
    void record_end(const backend_attempt& attempt, dispatch_outcome outcome);
    void record_broken(const backend_attempt& attempt);
    void release_connection();
    void refuse(
        Poco::Net::HTTPResponse::HTTPStatus status, request_outcome outcome,
        std::string_view text,
        std::optional<duration> retry_after = std::nullopt);
    void refuse_not_ready(std::string_view text);
    void finish(int status, request_outcome outcome);
    void report_end(int status, request_outcome outcome);

    duration time_limit() const;
    std::optional<duration> time_left() const;
    bool is_repeatable() const;
    request_size size() const;
    std::uint32_t rank() const;
    std::uint32_t rank_below_first() const;
    send_history history() const;
    dispatch_query make_query() const;
    bool is_admitted(const dispatch_choice& choice);
    bool decide_admission(const dispatch_choice& choice);
    dispatch_instructions
    make_instructions(const dispatch_choice& choice) const;

    gateway_context& context_;
    exchange_caller& caller_;
    received_request request_;
    std::shared_ptr<const routing_configuration> configuration_;
    const route* route_ = nullptr;
    const routed_organisation* organisation_ = nullptr;
    caller_request_info call_;
    std::string service_;

    // Hash of caller, path and body; the same for each retry by the caller.
    request_fingerprint fingerprint_ = 0;

    // The parts of the prompt that other requests can have too.
    std::vector<prompt_part_id> shared_parts_;

    time_point arrived_;
    std::optional<time_point> caller_deadline_;
    timer_id deadline_timer_ = 0;
    timer_id attempt_timer_ = 0;

    response_relay relay_;
    bool ended_ = false;

    // Whether the request may be sent to a server, once that is decided.
    std::optional<bool> admitted_;

    // Entry in the queue of a router that starts; zero for none.
    std::uint64_t startup_entry_ = 0;

    // Open query for a permit to send the request, and for the version of the
    // stream; zero for none.
    std::uint32_t permit_query_ = 0;
    std::uint32_t version_query_ = 0;

    // The names under which the stream may be taken up; the first one is looked
    // up. The software version that began it, once an event has reached the
    // caller.
    std::vector<stream_id> stream_ids_;
    std::optional<software_version_id> stream_version_;

    backend_attempt attempt_;

    // An earlier attempt at a server that makes no progress. It becomes the
    // current one again if no other server takes the request.
    std::optional<backend_attempt> held_attempt_;
    held_attempt_observer held_observer_{*this};
    timer_id overlap_timer_ = 0;

    // The send that makes up for the held attempt has not been counted against
    // the retry budget yet.
    bool held_send_is_due_ = false;

    // State across all attempts.
    std::vector<backend_server_id> tried_backends_;
    std::uint32_t sends_ = 0;
    std::uint32_t refused_connections_ = 0;

    // Attempts that failed because their connection broke.
    std::uint32_t broken_attempts_ = 0;

    // Some attempt may have run, or may still be running.
    bool may_have_run_ = false;

    std::optional<duration> first_event_after_;
};

} // namespace hickorygap

#endif
