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

} // namespace hickorygap

#endif
