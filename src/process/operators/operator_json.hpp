#ifndef HICKORYGAP_PROCESS_OPERATORS_OPERATOR_JSON_HPP
#define HICKORYGAP_PROCESS_OPERATORS_OPERATOR_JSON_HPP

#include "process/operators/operator_client.hpp"

#include <span>
#include <string>

namespace hickorygap
{

// JSON bodies of the operator API. 64-bit identifiers are written as
// hexadecimal strings, because many JSON parsers keep only 53 bits of an
// integer.
std::string to_json(const ticket_receipt& receipt);
std::string to_json(std::span<const accepted_ticket> tickets);
std::string to_json(const accepted_ticket& record);
std::string to_json(const in_force_report& report);
std::string to_json(const instance_status& status);
std::string to_json(const decision_list& list);

// Body of an error response: {"error": {"kind", "message"}}, with
// "next_free_number" for conflicts and, when `filing` (the request submitted a
// ticket), the "outcome" of the ticket.
std::string error_json(const absl::Status& status, bool filing);

// HTTP status for an error of the operator API.
int http_status_of(const absl::Status& status);

} // namespace hickorygap

#endif
