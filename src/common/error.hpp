#ifndef HICKORYGAP_COMMON_ERROR_HPP
#define HICKORYGAP_COMMON_ERROR_HPP

#include <absl/status/status.h>

#include <string_view>

namespace hickorygap
{

// Kinds of errors that callers, operators and scripts can distinguish. The
// names are part of the HTTP interface, see error_kind_name().
enum class error_kind
{
    internal,
    invalid_request,
    unknown_service,
    unauthorized,
    forbidden,
    payload_too_large,
    request_timeout,
    too_many_streams,
    overloaded,
    deadline_exceeded,
    no_backend_server,
    quarantined,
    cut_off,
    draining,
    idempotency_key_required,
    idempotency_key_expired,
    idempotency_key_reused,
    call_running,
    outcome_unknown,
    no_quorum,
    not_leader,
    ticket_conflict,
    ticket_invalid,
    settings_invalid,
    storage_damaged,
    storage_failed,
    unreachable
};

// Name of a kind in JSON errors, e.g. "ticket_conflict".
std::string_view error_kind_name(error_kind kind);

// Returns an error status that carries `kind` as a payload. The message should
// say what is wrong and how to correct it.
absl::Status make_error(error_kind kind, std::string_view message);

// Kind that a status from make_error() carries; error_kind::internal for any
// other status.
error_kind kind_of(const absl::Status& status);

} // namespace hickorygap

#endif
