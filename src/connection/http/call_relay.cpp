#include "connection/http/call_relay.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "connection/http/response_classification.hpp"

#include <fmt/format.h>

#include <variant>

namespace hickorygap
{

namespace
{

constexpr duration retry_after_refusal = std::chrono::seconds{1};

idempotent_call make_idempotent_call(const relayed_request& request)
{
    idempotent_call call;
    call.organisation = request.caller->id;
    call.service = request.target->id;
    call.key = request.idempotency_key;
    call.request = request.id;
    call.request_digest = sha256(
        fmt::format("{}\n{}\n{}", request.method, request.path, request.body));
    return call;
}

recorded_response recorded_refusal(const refusal& reason)
{
    return {
        static_cast<std::uint16_t>(http_status_of(reason.kind)),
        "application/json", error_body(reason)};
}

recorded_response not_run_response()
{
    return recorded_refusal(
        {error_kind::no_backend_server,
         "the call was not run because its backend server took no work; this "
         "answer is final for the Idempotency-Key, send the call again with a "
         "new key",
         true, retry_after_refusal});
}

// Whether an error of begin_call proves that the call has not run. An expired
// key proves nothing: the call it once named may have run.
bool is_certainly_not_run(error_kind kind)
{
    return kind == error_kind::no_quorum ||
           kind == error_kind::deadline_exceeded ||
           kind == error_kind::idempotency_key_reused;
}

// RAII guard that commits the outcome of a permitted call exactly once. The
// outcome is committed as unknown when end() was not called.
class outcome_guard
{
public:
    outcome_guard(control_client& control, const idempotent_call& call)
        : control_(control)
        , call_(call)
    {
    }

    ~outcome_guard()
    {
        if (!ended_)
        {
            end(nullptr);
        }
    }

    outcome_guard(const outcome_guard&) = delete;
    outcome_guard& operator=(const outcome_guard&) = delete;

    void end(const recorded_response* response)
    {
        ended_ = true;
        const absl::Status status = control_.end_call(call_, response);
        if (!status.ok())
        {
            log(log_level::warning, subsystem::attempt,
                "outcome_not_recorded error=\"{}\"",
                std::string{status.message()});
        }
    }

private:
    control_client& control_;
    const idempotent_call& call_;
    bool ended_ = false;
};

} // namespace

call_relay::call_relay(
    relay_context& context, const relayed_request& request,
    caller_channel& caller)
    : context_(context)
    , request_(request)
    , caller_(caller)
{
}

void call_relay::run()
{
    if (request_.idempotency_key.empty())
    {
        context_.refuse(
            caller_, {error_kind::idempotency_key_required,
                      "this service runs each call at most once; send the "
                      "header Idempotency-Key with a value unique to the call",
                      true,
                      {}});
        return;
    }
    if (const auto quarantined =
            context_.quarantine_refusal(request_.fingerprint))
    {
        context_.refuse(caller_, *quarantined);
        return;
    }
    const placement_query query = context_.make_query(request_, 1);
    const placement_decision decision = context_.control().place(
        query, [this] { return caller_.disconnected(); });
    if (const auto* refused = std::get_if<placement_refusal>(&decision))
    {
        if (refused->reason == wire::refusal_reason::withdrawn)
        {
            ++context_.counters().cancelled;
            return;
        }
        context_.refuse(caller_, placement_refusal_response(*refused));
        return;
    }
    run_granted(query, std::get<placement_grant>(decision));
}

void call_relay::run_granted(
    const placement_query& query, const placement_grant& grant)
{
    attempt granted{context_.control(), query, grant, request_.arrival};
    const configuration_ptr active_configuration =
        context_.control().current_configuration();
    const backend_server* server =
        active_configuration->find_backend_server(grant.backend_server);
    blame_guard blame{
        context_.blame(), grant.backend_server, request_.fingerprint,
        query.isolated};
    // A call isn't cancelled when its caller disconnects, so that its outcome
    // is known and can be recorded.
    backend_exchange exchange{nullptr};
    if (server == nullptr || !blame.admitted() ||
        !exchange.connect(
            server->host, server->port, context_.options().connect_timeout))
    {
        granted.end(wire::attempt_outcome::failed_before_start);
        if (const auto quarantined =
                context_.quarantine_refusal(request_.fingerprint))
        {
            context_.refuse(caller_, *quarantined);
            return;
        }
        context_.refuse(
            caller_, {error_kind::no_backend_server,
                      "this request was not run because its backend server "
                      "can't be used now; send it again with the same "
                      "Idempotency-Key",
                      true, retry_after_refusal});
        return;
    }
    run_connected({granted, blame, *server, exchange});
}

void call_relay::run_connected(const running_call& running)
{
    const idempotent_call call = make_idempotent_call(request_);
    const absl::StatusOr<call_permission> permission =
        context_.control().begin_call(call, request_.deadline);
    if (!permission.ok())
    {
        running.granted.end(wire::attempt_outcome::never_used);
        refuse_call(permission.status());
        return;
    }
    if (!permission->run)
    {
        running.granted.end(wire::attempt_outcome::never_used);
        const recorded_response& recorded = permission->recorded;
        caller_.respond(
            recorded.http_status, recorded.content_type, recorded.body);
        return;
    }
    run_permitted(running, call);
}

void call_relay::refuse_call(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    const bool retryable = kind == error_kind::call_running ||
                           kind == error_kind::no_quorum ||
                           kind == error_kind::deadline_exceeded;
    context_.refuse(
        caller_,
        {kind, std::string{status.message()}, is_certainly_not_run(kind),
         retryable ? retry_after_refusal : duration::zero()});
}

void call_relay::run_permitted(
    const running_call& running, const idempotent_call& call)
{
    outcome_guard outcome{context_.control(), call};
    const std::optional<recorded_response> response = send_once(running);
    if (!response)
    {
        outcome.end(nullptr);
        context_.refuse(
            caller_,
            {error_kind::outcome_unknown,
             "the call was sent and its outcome is unknown; it is not run "
             "again, find out from the service whether it took effect",
             false,
             {}});
        return;
    }
    outcome.end(&*response);
    caller_.respond(
        response->http_status, response->content_type, response->body);
}

std::optional<recorded_response>
call_relay::send_once(const running_call& running)
{
    backend_exchange& exchange = running.exchange;
    exchange.set_deadline(boot_now() + context_.options().response_timeout);
    running.granted.mark_sent();
    backend_request outgoing;
    outgoing.method = request_.method;
    outgoing.path = request_.path;
    outgoing.content_type = request_.content_type;
    outgoing.body = request_.body;
    outgoing.attempt = running.granted.name();
    outgoing.request_rank = request_.request_rank;
    if (!exchange.send(outgoing))
    {
        record_server_loss(running);
        return std::nullopt;
    }
    if (exchange.response_head().attempt != running.granted.name())
    {
        ++context_.counters().late_answers_dropped;
        return std::nullopt;
    }
    return read_response(running);
}

std::optional<recorded_response>
call_relay::read_response(const running_call& running)
{
    recorded_response response;
    const auto read = running.exchange.read_body(
        response.body, context_.options().call_response_limit_bytes);
    if (read == backend_exchange::read_result::failed)
    {
        record_server_loss(running);
        return std::nullopt;
    }
    if (read == backend_exchange::read_result::too_large)
    {
        return recorded_refusal(
            {error_kind::internal,
             "the call has run, but its answer is over the limit for "
             "non-repeatable calls; ask the service for the result",
             false,
             {}});
    }
    response.http_status = running.exchange.response_head().status;
    response.content_type = running.exchange.response_head().content_type;
    if (is_refused_before_start(response.http_status, response.body))
    {
        running.granted.end(wire::attempt_outcome::failed_before_start);
        return not_run_response();
    }
    running.granted.mark_first_byte(boot_now());
    running.granted.add_cost(request_.expected_cost);
    running.granted.end(wire::attempt_outcome::completed);
    running.blame.completed();
    context_.on_success(request_.target->id);
    return response;
}

void call_relay::record_server_loss(const running_call& running)
{
    if (running.exchange.failure_reason() !=
            cancellable_socket::failure::timed_out &&
        context_.is_dead(running.server))
    {
        ++context_.counters().backend_servers_lost;
        running.blame.backend_server_died();
        running.granted.end(wire::attempt_outcome::backend_server_lost);
    }
}

} // namespace hickorygap
