#include "common/error.hpp"

#include <absl/strings/cord.h>

#include <array>
#include <string>

namespace hickorygap
{

namespace
{

constexpr std::string_view kind_payload_url = "hickorygap/error_kind";

struct kind_row
{
    error_kind kind;
    std::string_view name;
    absl::StatusCode code;
};

constexpr std::array kind_rows{
    kind_row{error_kind::internal, "internal", absl::StatusCode::kInternal},
    kind_row{
        error_kind::invalid_request, "invalid_request",
        absl::StatusCode::kInvalidArgument},
    kind_row{
        error_kind::unknown_service, "unknown_service",
        absl::StatusCode::kNotFound},
    kind_row{
        error_kind::unauthorized, "unauthorized",
        absl::StatusCode::kUnauthenticated},
    kind_row{
        error_kind::forbidden, "forbidden",
        absl::StatusCode::kPermissionDenied},
    kind_row{
        error_kind::payload_too_large, "payload_too_large",
        absl::StatusCode::kOutOfRange},
    kind_row{
        error_kind::request_timeout, "request_timeout",
        absl::StatusCode::kDeadlineExceeded},
    kind_row{
        error_kind::too_many_streams, "too_many_streams",
        absl::StatusCode::kResourceExhausted},
    kind_row{
        error_kind::overloaded, "overloaded",
        absl::StatusCode::kResourceExhausted},
    kind_row{
        error_kind::deadline_exceeded, "deadline_exceeded",
        absl::StatusCode::kDeadlineExceeded},
    kind_row{
        error_kind::no_backend_server, "no_backend_server",
        absl::StatusCode::kUnavailable},
    kind_row{
        error_kind::quarantined, "quarantined",
        absl::StatusCode::kFailedPrecondition},
    kind_row{error_kind::cut_off, "cut_off", absl::StatusCode::kUnavailable},
    kind_row{error_kind::draining, "draining", absl::StatusCode::kUnavailable},
    kind_row{
        error_kind::idempotency_key_required, "idempotency_key_required",
        absl::StatusCode::kInvalidArgument},
    kind_row{
        error_kind::idempotency_key_expired, "idempotency_key_expired",
        absl::StatusCode::kFailedPrecondition},
    kind_row{
        error_kind::idempotency_key_reused, "idempotency_key_reused",
        absl::StatusCode::kAlreadyExists},
    kind_row{
        error_kind::call_running, "call_running", absl::StatusCode::kAborted},
    kind_row{
        error_kind::outcome_unknown, "outcome_unknown",
        absl::StatusCode::kUnknown},
    kind_row{
        error_kind::no_quorum, "no_quorum", absl::StatusCode::kUnavailable},
    kind_row{
        error_kind::not_leader, "not_leader", absl::StatusCode::kUnavailable},
    kind_row{
        error_kind::ticket_conflict, "ticket_conflict",
        absl::StatusCode::kAlreadyExists},
    kind_row{
        error_kind::ticket_invalid, "ticket_invalid",
        absl::StatusCode::kInvalidArgument},
    kind_row{
        error_kind::settings_invalid, "settings_invalid",
        absl::StatusCode::kInvalidArgument},
    kind_row{
        error_kind::storage_damaged, "storage_damaged",
        absl::StatusCode::kDataLoss},
    kind_row{
        error_kind::storage_failed, "storage_failed",
        absl::StatusCode::kUnavailable},
    kind_row{
        error_kind::unreachable, "unreachable", absl::StatusCode::kUnavailable},
};

const kind_row& row_of(error_kind kind)
{
    for (const kind_row& row : kind_rows)
    {
        if (row.kind == kind)
        {
            return row;
        }
    }
    return kind_rows.front();
}

} // namespace

std::string_view error_kind_name(error_kind kind)
{
    return row_of(kind).name;
}

absl::Status make_error(error_kind kind, std::string_view message)
{
    const kind_row& row = row_of(kind);
    absl::Status status{
        row.code, absl::string_view{message.data(), message.size()}};
    status.SetPayload(
        absl::string_view{kind_payload_url.data(), kind_payload_url.size()},
        absl::Cord{absl::string_view{row.name.data(), row.name.size()}});
    return status;
}

error_kind kind_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(
        absl::string_view{kind_payload_url.data(), kind_payload_url.size()});
    if (!payload)
    {
        return error_kind::internal;
    }
    const std::string name{*payload};
    for (const kind_row& row : kind_rows)
    {
        if (row.name == name)
        {
            return row.kind;
        }
    }
    return error_kind::internal;
}

} // namespace hickorygap
