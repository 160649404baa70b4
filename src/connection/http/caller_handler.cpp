#include "connection/http/caller_handler.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "connection/http/chat_request.hpp"
#include "connection/http/http_caller_channel.hpp"
#include "connection/http/request_body.hpp"
#include "version/configuration/rank_names.hpp"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";

constexpr duration retry_after_not_ready = std::chrono::seconds{5};
constexpr duration retry_after_overload = std::chrono::seconds{1};

// Rough estimate for English text; the cell owner corrects it with observed
// token counts.
constexpr std::size_t bytes_per_token = 4;

// Expected length of a completion whose request sets no max_tokens.
constexpr std::uint32_t default_completion_tokens = 256;

std::string_view path_of(const HTTPServerRequest& request)
{
    const std::string_view uri = request.getURI();
    return uri.substr(0, uri.find('?'));
}

std::optional<refusal> readiness_refusal(readiness state)
{
    switch (state)
    {
    case readiness::ready:
        return std::nullopt;
    case readiness::starting:
        return refusal{
            error_kind::cut_off,
            "this instance is starting and has no configuration yet; retry "
            "through another instance",
            true, retry_after_not_ready};
    case readiness::cut_off:
        return refusal{
            error_kind::cut_off,
            "this instance can't reach the rest of the fleet; retry through "
            "another instance",
            true, retry_after_not_ready};
    case readiness::draining:
        return refusal{
            error_kind::draining,
            "this instance is shutting down; retry through another instance",
            true, retry_after_not_ready};
    }
    return std::nullopt;
}

// Dot segments, also percent-encoded ones, could address paths outside the
// service's path prefix.
bool has_dot_segment(std::string_view path)
{
    const std::string lower = Poco::toLower(std::string{path});
    return (lower + "/").find("/../") != std::string::npos ||
           (lower + "/").find("/./") != std::string::npos ||
           lower.find("%2e") != std::string::npos ||
           lower.find("%2f") != std::string::npos;
}

bool is_printable(std::string_view text)
{
    constexpr char first = ' ';
    constexpr char last = '~';
    return std::all_of(
        text.begin(), text.end(),
        [](char character) { return character >= first && character <= last; });
}

void send_text(HTTPServerResponse& response, std::string_view text)
{
    response.setContentType("text/plain");
    response.sendBuffer(text.data(), text.size());
}

} // namespace

caller_handler::caller_handler(
    control_client& control, request_relay& relay, relay_counters& counters,
    const caller_request_limits& limits, std::uint64_t seed)
    : control_(control)
    , relay_(relay)
    , counters_(counters)
    , limits_(limits)
    , concurrency_limiter_(limits.streams_per_organisation)
    , random_(seed)
{
}

void caller_handler::handle(
    HTTPServerRequest& request, HTTPServerResponse& response)
{
    const std::string_view path = path_of(request);
    if (path == "/healthz")
    {
        send_text(response, "ok\n");
    }
    else if (path == "/readyz")
    {
        serve_readiness(response);
    }
    else
    {
        serve_request(request, response);
    }
}

void caller_handler::serve_readiness(HTTPServerResponse& response)
{
    if (const auto reason = readiness_refusal(control_.current_readiness()))
    {
        send_refusal(response, *reason);
        return;
    }
    send_text(response, "ready\n");
}

void caller_handler::refuse(HTTPServerResponse& response, const refusal& reason)
{
    counters_.count_refusal(reason.kind);
    send_refusal(response, reason);
}

void caller_handler::refuse(
    HTTPServerResponse& response, const absl::Status& status)
{
    refuse(
        response, {kind_of(status), std::string{status.message()}, true, {}});
}

request_id caller_handler::next_request_id()
{
    const std::lock_guard lock{mutex_};
    return random_();
}

void caller_handler::serve_request(
    HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (const auto reason = readiness_refusal(control_.current_readiness()))
    {
        refuse(response, *reason);
        return;
    }
    relayed_request relayed;
    relayed.arrival = boot_now();
    relayed.id = next_request_id();
    relayed.active_configuration = control_.current_configuration();
    const absl::Status authenticated = authenticate_caller(request, relayed);
    if (!authenticated.ok())
    {
        refuse(response, authenticated);
        return;
    }
    const organisation_concurrency_limiter::slot slot{
        concurrency_limiter_, relayed.caller->id};
    if (!slot.acquired())
    {
        refuse(
            response, {error_kind::too_many_streams,
                       "this organisation has too many requests running here; "
                       "wait for one to end",
                       true, retry_after_overload});
        return;
    }
    serve_authenticated(request, response, relayed);
}

void caller_handler::serve_authenticated(
    HTTPServerRequest& request, HTTPServerResponse& response,
    relayed_request& relayed)
{
    if (const auto reason = read_request_body(
            request, response, limits_.body, limits_.body_timeout,
            relayed.body))
    {
        refuse(response, *reason);
        return;
    }
    const absl::Status resolved =
        resolve_target(request, path_of(request), relayed);
    if (!resolved.ok())
    {
        refuse(response, resolved);
        return;
    }
    const auto index = static_cast<std::size_t>(relayed.request_rank);
    relayed.deadline = relayed.arrival + relayed.target->ranks[index].target;
    response.set("X-Request-Id", fmt::format("{:016x}", relayed.id));
    http_caller_channel channel{request, response};
    relay_.relay(relayed, channel);
    if (!response.sent())
    {
        // The caller has disconnected, so no response was sent.
        response.setKeepAlive(false);
    }
}

absl::Status caller_handler::authenticate_caller(
    const HTTPServerRequest& request, relayed_request& relayed) const
{
    constexpr std::string_view scheme = "bearer ";
    const std::string credentials = request.get("Authorization", "");
    if (Poco::toLower(credentials.substr(0, scheme.size())) == scheme)
    {
        const std::string key = Poco::trim(credentials.substr(scheme.size()));
        relayed.caller =
            relayed.active_configuration->find_organisation_by_key(sha256(key));
    }
    if (relayed.caller == nullptr)
    {
        return make_error(
            error_kind::unauthorized,
            "the API key is missing or unknown; send the header "
            "Authorization: Bearer <key>");
    }
    const std::string name = request.get("X-Rank", "normal");
    const auto asked = parse_rank(name);
    if (!asked)
    {
        return make_error(
            error_kind::invalid_request,
            "X-Rank must be urgent, normal or background");
    }
    relayed.request_rank = std::max(*asked, relayed.caller->highest_rank);
    return absl::OkStatus();
}

absl::Status caller_handler::resolve_target(
    const HTTPServerRequest& request, std::string_view path,
    relayed_request& relayed) const
{
    relayed.method = request.getMethod();
    relayed.content_type = request.getContentType();
    if (relayed.content_type == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE)
    {
        relayed.content_type.clear();
    }
    if (path == chat_path)
    {
        return resolve_chat_target(request, relayed);
    }
    if (path.starts_with(services_prefix))
    {
        return resolve_plain_target(request, path, relayed);
    }
    return make_error(
        error_kind::unknown_service,
        "nothing is served at this path; use /v1/chat/completions or "
        "/services/<name>/");
}

absl::Status caller_handler::resolve_chat_target(
    const HTTPServerRequest& request, relayed_request& relayed) const
{
    if (relayed.method != "POST")
    {
        return make_error(
            error_kind::invalid_request, "chat completions are served by POST");
    }
    const auto parsed = parse_chat_request(relayed.body, limits_.json_depth);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    relayed.target =
        relayed.active_configuration->find_service_by_model(parsed->model);
    if (relayed.target == nullptr)
    {
        return make_error(
            error_kind::unknown_service,
            fmt::format(
                "the model \"{}\" is not served here; choose another one",
                parsed->model));
    }
    relayed.path = chat_path;
    relayed.streamed = parsed->stream;
    relayed.fingerprint = fingerprint_of({parsed->model, relayed.body});
    const auto completion_tokens = parsed->max_tokens == 0
                                       ? default_completion_tokens
                                       : parsed->max_tokens;
    relayed.prompt_cost =
        static_cast<std::uint32_t>(relayed.body.size() / bytes_per_token);
    relayed.expected_cost = relayed.prompt_cost + completion_tokens;
    return read_chat_id(request, parsed->chat, relayed);
}

absl::Status caller_handler::resolve_plain_target(
    const HTTPServerRequest& request, std::string_view path,
    relayed_request& relayed) const
{
    const std::string_view rest = path.substr(services_prefix.size());
    const std::string_view name = rest.substr(0, rest.find('/'));
    relayed.target =
        relayed.active_configuration->find_service(hash_name(name));
    if (relayed.target == nullptr ||
        relayed.target->kind != service_kind::plain)
    {
        return make_error(
            error_kind::unknown_service,
            fmt::format(
                "the service \"{}\" is not served here; choose another one",
                name));
    }
    if (has_dot_segment(rest))
    {
        return make_error(
            error_kind::invalid_request,
            "the path must have no dot segments and no encoded slashes");
    }
    const std::string_view uri = request.getURI();
    relayed.path = relayed.target->path;
    relayed.path += uri.substr(services_prefix.size() + name.size());
    if (!relayed.path.starts_with('/'))
    {
        relayed.path.insert(0, "/");
    }
    relayed.fingerprint = fingerprint_of(
        {relayed.target->name, relayed.method, relayed.path, relayed.body});
    const absl::Status key = read_idempotency_key(request, relayed);
    return key.ok() ? read_chat_id(request, {}, relayed) : key;
}

absl::Status caller_handler::read_chat_id(
    const HTTPServerRequest& request, std::string_view in_body,
    relayed_request& relayed) const
{
    const std::string header = request.get("X-Chat-Id", "");
    const std::string_view name = header.empty() ? in_body : header;
    if (name.size() > limits_.chat_id_bytes)
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "the chat's name is over {} bytes; use a shorter one",
                limits_.chat_id_bytes));
    }
    if (!name.empty())
    {
        relayed.chat = hash_chat(relayed.caller->id, name);
    }
    return absl::OkStatus();
}

absl::Status caller_handler::read_idempotency_key(
    const HTTPServerRequest& request, relayed_request& relayed) const
{
    relayed.idempotency_key = request.get("Idempotency-Key", "");
    if (relayed.idempotency_key.size() > limits_.idempotency_key_bytes ||
        !is_printable(relayed.idempotency_key))
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "Idempotency-Key must be at most {} printable characters",
                limits_.idempotency_key_bytes));
    }
    return absl::OkStatus();
}

} // namespace hickorygap
