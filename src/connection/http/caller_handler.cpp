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

constexpr duration retry_when_not_ready = std::chrono::seconds{5};
constexpr duration retry_when_full = std::chrono::seconds{1};

// A rough estimate for English text; the owner corrects it by the tokens that
// are observed.
constexpr std::size_t bytes_per_token = 4;

// Expected length of an answer whose request sets no limit.
constexpr std::uint32_t default_answer_tokens = 256;

std::string_view path_of(const HTTPServerRequest& request)
{
    const std::string_view uri = request.getURI();
    return uri.substr(0, uri.find('?'));
}

std::optional<refusal> refusal_when(readiness state)
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
            true, retry_when_not_ready};
    case readiness::cut_off:
        return refusal{
            error_kind::cut_off,
            "this instance can't reach the rest of the fleet; retry through "
            "another instance",
            true, retry_when_not_ready};
    case readiness::draining:
        return refusal{
            error_kind::draining,
            "this instance is shutting down; retry through another instance",
            true, retry_when_not_ready};
    }
    return std::nullopt;
}

// Dot segments could lead out of the service's path.
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
    const caller_limits& limits, std::uint64_t seed)
    : control_(control)
    , relay_(relay)
    , counters_(counters)
    , limits_(limits)
    , streams_(limits.streams_per_organisation)
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
        serve_work(request, response);
    }
}

void caller_handler::serve_readiness(HTTPServerResponse& response)
{
    if (const auto reason = refusal_when(control_.current_readiness()))
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

request_id caller_handler::next_request()
{
    const std::lock_guard lock{mutex_};
    return random_();
}

void caller_handler::serve_work(
    HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (const auto reason = refusal_when(control_.current_readiness()))
    {
        refuse(response, *reason);
        return;
    }
    relayed_request work;
    work.arrival = boot_now();
    work.id = next_request();
    work.in_force = control_.current_configuration();
    const absl::Status known = read_caller(request, work);
    if (!known.ok())
    {
        refuse(response, known);
        return;
    }
    const organisation_streams::place place{streams_, work.caller->id};
    if (!place.taken())
    {
        refuse(
            response, {error_kind::too_many_streams,
                       "this organisation has too many requests running here; "
                       "wait for one to end",
                       true, retry_when_full});
        return;
    }
    serve_for(request, response, work);
}

void caller_handler::serve_for(
    HTTPServerRequest& request, HTTPServerResponse& response,
    relayed_request& work)
{
    if (const auto reason = read_request_body(
            request, response, limits_.body, limits_.body_timeout, work.body))
    {
        refuse(response, *reason);
        return;
    }
    const absl::Status valid = read_target(request, path_of(request), work);
    if (!valid.ok())
    {
        refuse(response, valid);
        return;
    }
    const auto index = static_cast<std::size_t>(work.request_rank);
    work.deadline = work.arrival + work.target->ranks[index].target;
    response.set("X-Request-Id", fmt::format("{:016x}", work.id));
    http_caller_channel channel{request, response};
    relay_.relay(work, channel);
    if (!response.sent())
    {
        // The caller has left; there is nobody to answer.
        response.setKeepAlive(false);
    }
}

absl::Status caller_handler::read_caller(
    const HTTPServerRequest& request, relayed_request& work) const
{
    constexpr std::string_view scheme = "bearer ";
    const std::string credentials = request.get("Authorization", "");
    if (Poco::toLower(credentials.substr(0, scheme.size())) == scheme)
    {
        const std::string key = Poco::trim(credentials.substr(scheme.size()));
        work.caller = work.in_force->find_organisation_by_key(sha256(key));
    }
    if (work.caller == nullptr)
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
    work.request_rank = std::max(*asked, work.caller->highest_rank);
    return absl::OkStatus();
}

absl::Status caller_handler::read_target(
    const HTTPServerRequest& request, std::string_view path,
    relayed_request& work) const
{
    work.method = request.getMethod();
    work.content_type = request.getContentType();
    if (work.content_type == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE)
    {
        work.content_type.clear();
    }
    if (path == chat_path)
    {
        return read_chat_target(request, work);
    }
    if (path.starts_with(services_prefix))
    {
        return read_plain_target(request, path, work);
    }
    return make_error(
        error_kind::unknown_service,
        "nothing is served at this path; use /v1/chat/completions or "
        "/services/<name>/");
}

absl::Status caller_handler::read_chat_target(
    const HTTPServerRequest& request, relayed_request& work) const
{
    if (work.method != "POST")
    {
        return make_error(
            error_kind::invalid_request, "chat completions are served by POST");
    }
    const auto parsed = parse_chat_request(work.body, limits_.json_depth);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    work.target = work.in_force->find_service_by_model(parsed->model);
    if (work.target == nullptr)
    {
        return make_error(
            error_kind::unknown_service,
            fmt::format(
                "the model \"{}\" is not served here; choose another one",
                parsed->model));
    }
    work.path = chat_path;
    work.streamed = parsed->stream;
    work.fingerprint = fingerprint_of({parsed->model, work.body});
    const auto answer_tokens =
        parsed->max_tokens == 0 ? default_answer_tokens : parsed->max_tokens;
    work.prompt_cost =
        static_cast<std::uint32_t>(work.body.size() / bytes_per_token);
    work.expected_cost = work.prompt_cost + answer_tokens;
    return read_chat_name(request, parsed->chat, work);
}

absl::Status caller_handler::read_plain_target(
    const HTTPServerRequest& request, std::string_view path,
    relayed_request& work) const
{
    const std::string_view rest = path.substr(services_prefix.size());
    const std::string_view name = rest.substr(0, rest.find('/'));
    work.target = work.in_force->find_service(hash_name(name));
    if (work.target == nullptr || work.target->kind != service_kind::plain)
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
    work.path = work.target->path;
    work.path += uri.substr(services_prefix.size() + name.size());
    if (!work.path.starts_with('/'))
    {
        work.path.insert(0, "/");
    }
    work.fingerprint =
        fingerprint_of({work.target->name, work.method, work.path, work.body});
    const absl::Status key = read_idempotency_key(request, work);
    return key.ok() ? read_chat_name(request, {}, work) : key;
}

absl::Status caller_handler::read_chat_name(
    const HTTPServerRequest& request, std::string_view in_body,
    relayed_request& work) const
{
    const std::string header = request.get("X-Chat-Id", "");
    const std::string_view name = header.empty() ? in_body : header;
    if (name.size() > limits_.chat_name)
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "the chat's name is over {} bytes; use a shorter one",
                limits_.chat_name));
    }
    if (!name.empty())
    {
        work.chat = hash_chat(work.caller->id, name);
    }
    return absl::OkStatus();
}

absl::Status caller_handler::read_idempotency_key(
    const HTTPServerRequest& request, relayed_request& work) const
{
    work.idempotency_key = request.get("Idempotency-Key", "");
    if (work.idempotency_key.size() > limits_.idempotency_key ||
        !is_printable(work.idempotency_key))
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "Idempotency-Key must be at most {} printable characters",
                limits_.idempotency_key));
    }
    return absl::OkStatus();
}

} // namespace hickorygap
