#include "process/fleet_process/limit_messages.hpp"

namespace hickorygap
{

std::vector<wire::server_limit>
encode_limits(std::span<const backend_limit> limits)
{
    std::vector<wire::server_limit> result;
    for (const backend_limit& limit : limits)
    {
        result.emplace_back(
            limit.backend, limit.requests_per_second.value_or(0),
            !limit.requests_per_second);
    }
    return result;
}

std::vector<backend_limit>
decode_limits(std::span<const wire::server_limit> limits)
{
    std::vector<backend_limit> result;
    for (const wire::server_limit& limit : limits)
    {
        backend_limit decoded{limit.backend(), std::nullopt};
        if (!limit.is_lifted())
        {
            decoded.requests_per_second = limit.requests_per_second();
        }
        result.push_back(decoded);
    }
    return result;
}

} // namespace hickorygap
