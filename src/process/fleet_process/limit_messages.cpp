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
            !limit.requests_per_second, limit.is_ending, limit.is_brittle,
            limit.rejections);
    }
    return result;
}

std::vector<backend_limit>
decode_limits(std::span<const wire::server_limit> limits)
{
    std::vector<backend_limit> result;
    for (const wire::server_limit& limit : limits)
    {
        backend_limit decoded{
            limit.backend(),
            {},
            limit.is_ending(),
            limit.is_brittle(),
            limit.rejections()};
        if (!limit.is_lifted())
        {
            decoded.requests_per_second = limit.requests_per_second();
        }
        result.push_back(decoded);
    }
    return result;
}

wire::permit_request_msg
encode_query(const permit_query& query, std::uint32_t number)
{
    wire::permit_request_msg message;
    message.number = number;
    message.limits_version = query.version;
    message.candidates = encode_limits(query.candidates);
    message.observed = encode_limits(query.observed);
    message.others_too = query.request.others_too;
    message.service = query.request.service;
    message.software_version = query.request.software_version;
    message.excluded = query.request.excluded;
    message.rank_below_first = query.request.rank_below_first;
    return message;
}

permit_query decode_query(const wire::permit_request_msg& message)
{
    permit_query query{
        message.limits_version, decode_limits(message.candidates),
        decode_limits(message.observed)};
    query.request.others_too = message.others_too;
    query.request.service = message.service;
    query.request.software_version = message.software_version;
    query.request.excluded = message.excluded;
    query.request.rank_below_first = message.rank_below_first;
    return query;
}

wire::permit_grant_msg encode_changes(const limit_changes& changes)
{
    wire::permit_grant_msg message;
    message.limits_version = changes.version;
    message.base_version = changes.base_version;
    message.limits = encode_limits(changes.limits);
    return message;
}

limit_changes decode_changes(const wire::permit_grant_msg& message)
{
    return {
        message.limits_version, message.base_version,
        decode_limits(message.limits)};
}

} // namespace hickorygap
