#include "process/gateway/request_outcome.hpp"

namespace hickorygap
{

std::string_view request_outcome_name(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::answered:
        return "answered";
    case request_outcome::server_error:
        return "server_error";
    case request_outcome::refused:
        return "refused";
    case request_outcome::timed_out:
        return "timed_out";
    case request_outcome::broke_off:
        return "broke_off";
    case request_outcome::cut_midway:
        return "cut_midway";
    case request_outcome::caller_left:
        return "caller_left";
    case request_outcome::no_configuration:
        return "no_configuration";
    case request_outcome::quarantined:
        return "quarantined";
    case request_outcome::no_route:
        return "no_route";
    case request_outcome::no_key:
        return "no_key";
    case request_outcome::invalid:
        return "invalid";
    }
    return "unknown";
}

} // namespace hickorygap
