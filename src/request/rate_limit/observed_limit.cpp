#include "request/rate_limit/observed_limit.hpp"

namespace hickorygap
{

std::optional<backend_limit>
observed_limit(backend_server_id backend, const backend_response_info& response)
{
    const bool is_unreadable =
        (response.names_request_limit && !response.request_limit) ||
        (response.names_rejections_tolerated && !response.rejections_tolerated);
    if (is_unreadable)
    {
        return std::nullopt;
    }
    backend_limit limit{backend, response.request_limit};
    if (!limit.requests_per_second && response.rejections_tolerated)
    {
        limit.requests_per_second = response.rejections_tolerated;
        limit.is_brittle = true;
        limit.rejections = response.not_run ? 1 : 0;
    }
    return limit;
}

} // namespace hickorygap
