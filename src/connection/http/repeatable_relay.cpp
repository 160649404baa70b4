#include "connection/http/repeatable_relay.hpp"

#include "connection/http/response_classification.hpp"

#include <utility>
#include <variant>

namespace hickorygap
{

namespace
{

constexpr duration retry_after_failure = std::chrono::seconds{1};
constexpr std::string_view last_event = "data: [DONE]\n\n";

} // namespace

repeatable_relay::repeatable_relay(
    relay_context& context, const relayed_request& request,
    caller_channel& caller)
    : context_(context)
    , request_(request)
    , caller_(caller)
    , deadline_(request.deadline)
{
}

void repeatable_relay::run()
{
    while (true)
    {
        if (const auto quarantined =
                context_.quarantine_refusal(request_.fingerprint))
        {
            fail_request(*quarantined);
            return;
        }
        placement_query query = context_.make_query(request_, ++attempts_);
        query.deadline = deadline_;
        query.excluded = excluded_;
        const placement_decision decision = context_.control().place(
            query, [this] { return caller_.disconnected(); });
        if (const auto* refused = std::get_if<placement_refusal>(&decision))
        {
            if (refused->reason == wire::refusal_reason::withdrawn)
            {
                ++context_.counters().cancelled;
                return;
            }
            fail_request(placement_refusal_response(*refused));
            return;
        }
        const auto& grant = std::get<placement_grant>(decision);
        if (run_attempt(query, grant) == attempt_result::finished ||
            !prepare_retry())
        {
            return;
        }
    }
}

bool repeatable_relay::prepare_retry()
{
    const bool started = progress_.forwarded() > 0;
    if (!started && boot_now() >= deadline_)
    {
        fail_request(
            {error_kind::deadline_exceeded,
             "the attempts failed and no time is left for another one; retry "
             "after the stated time",
             false, retry_after_failure});
        return false;
    }
    // Continuing a started stream doesn't consume the retry budget: the
    // streams of one lost engine are bounded by its slots, and each caller has
    // already received part of its response.
    if (attempts_ >= context_.options().attempt_limit ||
        (!started && !context_.try_take_retry(request_.target->id)))
    {
        fail_request(
            {error_kind::no_backend_server,
             may_have_run_
                 ? "the backend servers that ran the request failed; "
                   "retry after the stated time"
                 : "the backend servers took no more work; retry after "
                   "the stated time",
             false, retry_after_failure});
        return false;
    }
    if (started)
    {
        const auto index = static_cast<std::size_t>(request_.request_rank);
        deadline_ = boot_now() + request_.target->ranks[index].target;
    }
    return true;
}

void repeatable_relay::fail_request(refusal reason)
{
    reason.not_run = !may_have_run_;
    if (stream_started_)
    {
        context_.counters().count_refusal(reason.kind);
        caller_.fail_stream(reason);
        return;
    }
    context_.refuse(caller_, reason);
}

backend_request
repeatable_relay::make_backend_request(const attempt& granted) const
{
    backend_request outgoing;
    outgoing.method = request_.method;
    outgoing.path = request_.path;
    outgoing.content_type = request_.content_type;
    outgoing.body = request_.body;
    outgoing.attempt = granted.name();
    outgoing.chat = request_.chat;
    outgoing.request_rank = request_.request_rank;
    outgoing.resume_from = progress_.forwarded();
    return outgoing;
}

repeatable_relay::attempt_result repeatable_relay::run_attempt(
    const placement_query& query, const placement_grant& grant)
{
    attempt granted{context_.control(), query, grant, request_.arrival};
    const configuration_ptr active_configuration =
        context_.control().current_configuration();
    const backend_server* server =
        active_configuration->find_backend_server(grant.backend_server);
    if (server == nullptr)
    {
        excluded_.push_back(grant.backend_server);
        return attempt_result::failed;
    }
    blame_guard blame{
        context_.blame(), server->id, request_.fingerprint, query.isolated};
    if (!blame.admitted() &&
        (!query.isolated || context_.quarantine_refusal(request_.fingerprint)))
    {
        // The request became a crash suspect or was quarantined while it was
        // queued.
        return attempt_result::failed;
    }
    if (!blame.admitted())
    {
        fail_request(
            {error_kind::overloaded,
             "the same request is being checked after a crash of a backend "
             "server; retry after the stated time",
             true, retry_after_failure});
        return attempt_result::finished;
    }
    backend_exchange exchange{[this] { return caller_.disconnected(); }};
    running_attempt running{granted, blame, *server, exchange};
    return run_exchange(running);
}

repeatable_relay::attempt_result
repeatable_relay::run_exchange(running_attempt& running)
{
    const relay_options& options = context_.options();
    if (!running.exchange.connect(
            running.server.host, running.server.port, options.connect_timeout))
    {
        excluded_.push_back(running.server.id);
        running.granted.end(wire::attempt_outcome::failed_before_start);
        return attempt_result::failed;
    }
    running.exchange.set_deadline(boot_now() + options.response_timeout);
    running.granted.mark_sent();
    if (!running.exchange.send(make_backend_request(running.granted)))
    {
        return on_connection_failure(running);
    }
    if (running.exchange.response_head().attempt != running.granted.name())
    {
        ++context_.counters().late_answers_dropped;
        excluded_.push_back(running.server.id);
        return on_failed(running, wire::attempt_outcome::failed_after_start);
    }
    return relay_response(running);
}

repeatable_relay::attempt_result
repeatable_relay::relay_response(running_attempt& running)
{
    const backend_response_head& head = running.exchange.response_head();
    if (is_possible_refusal(head.status))
    {
        return relay_possible_refusal(running);
    }
    if (is_gateway_failure(head.status))
    {
        excluded_.push_back(running.server.id);
        return on_failed(running, wire::attempt_outcome::failed_after_start);
    }
    if (head.content_type.starts_with("text/event-stream"))
    {
        return relay_stream(running);
    }
    return relay_complete_response(running);
}

repeatable_relay::attempt_result
repeatable_relay::relay_possible_refusal(running_attempt& running)
{
    std::string body;
    const auto read = running.exchange.read_body(
        body, context_.options().call_response_limit_bytes);
    excluded_.push_back(running.server.id);
    if (read == backend_exchange::read_result::end &&
        is_refused_before_start(running.exchange.response_head().status, body))
    {
        running.granted.end(wire::attempt_outcome::failed_before_start);
        return attempt_result::failed;
    }
    if (running.exchange.failure_reason() ==
        cancellable_socket::failure::cancelled)
    {
        return on_caller_disconnected(running);
    }
    return on_failed(running, wire::attempt_outcome::failed_after_start);
}

repeatable_relay::attempt_result
repeatable_relay::relay_complete_response(running_attempt& running)
{
    std::string body;
    const auto read = running.exchange.read_body(
        body, context_.options().response_limit_bytes);
    if (read == backend_exchange::read_result::failed)
    {
        return on_connection_failure(running);
    }
    if (read == backend_exchange::read_result::too_large)
    {
        return on_unusable_response(
            running, "the answer is over the limit; ask for a shorter one");
    }
    if (stream_started_)
    {
        return on_unusable_response(
            running, "the stream broke and couldn't be continued; send the "
                     "request again");
    }
    running.granted.mark_first_byte(boot_now());
    running.granted.add_cost(request_.expected_cost);
    on_completed(running);
    const backend_response_head& head = running.exchange.response_head();
    caller_.respond(head.status, head.content_type, body);
    return attempt_result::finished;
}

bool repeatable_relay::begin_stream_attempt(const backend_response_head& head)
{
    const std::size_t known = progress_.forwarded();
    if (known == 0)
    {
        progress_.begin_attempt(0);
        return head.resumed_from.value_or(0) == 0;
    }
    const std::size_t position = head.resumed_from.value_or(0);
    if (position > known)
    {
        return false;
    }
    progress_.begin_attempt(position);
    relay_counters& counters = context_.counters();
    ++(position == known ? counters.resumed : counters.restarted);
    return true;
}

repeatable_relay::attempt_result
repeatable_relay::relay_stream(running_attempt& running)
{
    const relay_options& options = context_.options();
    if (!begin_stream_attempt(running.exchange.response_head()))
    {
        return on_unusable_response(
            running, "the engine continued the stream at a wrong place; send "
                     "the request again");
    }
    running.granted.add_cost(request_.prompt_cost);
    std::string event;
    while (running.granted.state() != attempt_state::ended)
    {
        running.exchange.set_deadline(boot_now() + options.event_timeout);
        const auto read =
            running.exchange.read_event(event, options.event_limit_bytes);
        if (read == backend_exchange::read_result::too_large)
        {
            return on_unusable_response(
                running, "an event of the stream is over the limit; ask for a "
                         "shorter answer");
        }
        if (read != backend_exchange::read_result::ok)
        {
            return on_connection_failure(running);
        }
        if (relay_event(running, event) == attempt_result::finished)
        {
            return attempt_result::finished;
        }
    }
    return attempt_result::finished;
}

// Returns failed when further events are to be read.
repeatable_relay::attempt_result repeatable_relay::relay_event(
    running_attempt& running, const std::string& event)
{
    switch (progress_.on_event(event))
    {
    case stream_progress::step::skip:
        return attempt_result::failed;
    case stream_progress::step::mismatch:
        return on_unusable_response(
            running, "the stream broke and its repetition differs; send the "
                     "request again");
    case stream_progress::step::forward:
        break;
    }
    running.granted.mark_first_byte(boot_now());
    // Each event carries one token.
    running.granted.add_cost(1);
    const bool last = event == last_event;
    if (last)
    {
        on_completed(running);
    }
    if (!std::exchange(stream_started_, true))
    {
        caller_.start_stream();
    }
    if (!caller_.send_event(event) && !last)
    {
        return on_caller_disconnected(running);
    }
    return last ? attempt_result::finished : attempt_result::failed;
}

void repeatable_relay::on_completed(running_attempt& running)
{
    running.blame.completed();
    running.granted.end(wire::attempt_outcome::completed);
    context_.on_success(request_.target->id);
}

repeatable_relay::attempt_result
repeatable_relay::on_connection_failure(running_attempt& running)
{
    switch (running.exchange.failure_reason())
    {
    case cancellable_socket::failure::cancelled:
        return on_caller_disconnected(running);
    case cancellable_socket::failure::timed_out:
        excluded_.push_back(running.server.id);
        return on_failed(running, wire::attempt_outcome::failed_after_start);
    default:
        break;
    }
    if (context_.is_dead(running.server))
    {
        ++context_.counters().backend_servers_lost;
        running.blame.backend_server_died();
        excluded_.push_back(running.server.id);
        return on_failed(running, wire::attempt_outcome::backend_server_lost);
    }
    // A started stream may resume on the same server; otherwise the retry goes
    // to another one.
    if (progress_.forwarded() == 0)
    {
        excluded_.push_back(running.server.id);
    }
    return on_failed(running, wire::attempt_outcome::failed_after_start);
}

repeatable_relay::attempt_result repeatable_relay::on_failed(
    running_attempt& running, wire::attempt_outcome outcome)
{
    may_have_run_ = true;
    running.granted.end(outcome);
    return attempt_result::failed;
}

repeatable_relay::attempt_result
repeatable_relay::on_caller_disconnected(running_attempt& running)
{
    ++context_.counters().cancelled;
    running.granted.end(wire::attempt_outcome::cancelled);
    return attempt_result::finished;
}

repeatable_relay::attempt_result repeatable_relay::on_unusable_response(
    running_attempt& running, const char* message)
{
    on_failed(running, wire::attempt_outcome::failed_after_start);
    fail_request({error_kind::internal, message, false, retry_after_failure});
    return attempt_result::finished;
}

} // namespace hickorygap
