#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_LIMIT_MESSAGES_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_LIMIT_MESSAGES_HPP

#include "messages/codec.hpp"
#include "request/rate_limit/backend_limit.hpp"

#include <span>
#include <vector>

namespace hickorygap
{

// Conversions between the limits of backend servers and their messages.
std::vector<wire::server_limit>
encode_limits(std::span<const backend_limit> limits);
std::vector<backend_limit>
decode_limits(std::span<const wire::server_limit> limits);

// Conversions of queries for permits. number: identifies the query at its
// router; zero if it only reports limits.
wire::permit_request_msg
encode_query(const permit_query& query, std::uint32_t number);
permit_query decode_query(const wire::permit_request_msg& message);

// Conversions of changes of the limits. The message answers no query yet.
wire::permit_grant_msg encode_changes(const limit_changes& changes);
limit_changes decode_changes(const wire::permit_grant_msg& message);

} // namespace hickorygap

#endif
