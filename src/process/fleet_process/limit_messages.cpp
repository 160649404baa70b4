#include "process/fleet_process/limit_messages.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hickorygap
{

namespace
{

constexpr double thousand = 1000;

std::uint32_t to_thousandths(double value)
{
    constexpr double max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(std::round(value * thousand), max));
}

} // namespace

std::vector<wire::server_limit>
encode_limits(std::span<const backend_limit> limits)
{
    std::vector<wire::server_limit> result;
    for (const backend_limit& limit : limits)
    {
        result.emplace_back(
            limit.backend,
            to_thousandths(limit.requests_per_second.value_or(0)),
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
            decoded.requests_per_second =
                limit.requests_per_1000_s() / thousand;
        }
        result.push_back(decoded);
    }
    return result;
}

} // namespace hickorygap
