#include "connection/http/json_error.hpp"

#include "connection/h1/message_framing.hpp"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPResponse;

} // namespace

std::int64_t retry_after_seconds(duration retry_after)
{
    return std::chrono::ceil<std::chrono::seconds>(retry_after).count();
}

HTTPResponse::HTTPStatus http_status_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid_request:
    case error_kind::idempotency_key_required:
    case error_kind::ticket_invalid:
    case error_kind::settings_invalid:
        return HTTPResponse::HTTP_BAD_REQUEST;
    case error_kind::unauthorized:
        return HTTPResponse::HTTP_UNAUTHORIZED;
    case error_kind::forbidden:
        return HTTPResponse::HTTP_FORBIDDEN;
    case error_kind::unknown_service:
        return HTTPResponse::HTTP_NOT_FOUND;
    case error_kind::request_timeout:
        return HTTPResponse::HTTP_REQUEST_TIMEOUT;
    case error_kind::payload_too_large:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case error_kind::quarantined:
        return HTTPResponse::HTTP_UNPROCESSABLE_ENTITY;
    case error_kind::too_many_streams:
        return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    case error_kind::call_running:
    case error_kind::idempotency_key_reused:
    case error_kind::outcome_unknown:
    case error_kind::ticket_conflict:
        return HTTPResponse::HTTP_CONFLICT;
    case error_kind::idempotency_key_expired:
        return HTTPResponse::HTTP_GONE;
    case error_kind::overloaded:
    case error_kind::no_backend_server:
    case error_kind::cut_off:
    case error_kind::draining:
    case error_kind::no_quorum:
    case error_kind::not_leader:
    case error_kind::storage_failed:
    case error_kind::unreachable:
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    case error_kind::deadline_exceeded:
        return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
    case error_kind::internal:
    case error_kind::storage_damaged:
        return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    }
    return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

std::string error_body(const refusal& reason)
{
    Poco::JSON::Object error;
    error.set("kind", std::string{error_kind_name(reason.kind)});
    error.set("message", reason.message);
    error.set("not_run", reason.not_run);
    if (reason.retry_after > duration::zero())
    {
        error.set("retry_after_s", retry_after_seconds(reason.retry_after));
    }
    Poco::JSON::Object root;
    root.set("error", error);
    std::ostringstream text;
    root.stringify(text);
    return text.str();
}

void send_refusal(
    Poco::Net::HTTPServerResponse& response, const refusal& reason)
{
    response.setStatusAndReason(http_status_of(reason.kind));
    response.setContentType("application/json");
    if (reason.retry_after > duration::zero())
    {
        response.set(
            std::string{retry_after_field},
            std::to_string(retry_after_seconds(reason.retry_after)));
    }
    const std::string body = error_body(reason);
    response.sendBuffer(body.data(), body.size());
}

} // namespace hickorygap
