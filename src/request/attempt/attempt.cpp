#include "request/attempt/attempt.hpp"

#include <fmt/format.h>

namespace hickorygap
{

std::string attempt_name(request_id request, std::uint8_t attempt)
{
    return fmt::format("{:016x}-{}", request, attempt);
}

attempt::attempt(
    control_client& control, const placement_query& query,
    const placement_grant& grant, time_point arrival)
    : control_(control)
    , arrival_(arrival)
{
    report_.request = query.request;
    report_.attempt = query.attempt;
    report_.granting_cell = grant.granting_cell;
    report_.backend_server = grant.backend_server;
    report_.service = query.service;
    report_.organisation = query.organisation;
    report_.request_rank = query.request_rank;
    report_.fingerprint = query.fingerprint;
}

attempt::~attempt()
{
    end(state_ == attempt_state::not_sent
            ? wire::attempt_outcome::never_used
            : wire::attempt_outcome::failed_after_start);
}

void attempt::mark_sent()
{
    if (state_ == attempt_state::not_sent)
    {
        state_ = attempt_state::sent_outcome_unknown;
    }
}

void attempt::mark_first_byte(time_point now)
{
    if (report_.first_byte == duration::zero())
    {
        report_.first_byte = now - arrival_;
    }
}

void attempt::add_cost(std::uint32_t tokens)
{
    report_.actual_cost += tokens;
}

void attempt::end(wire::attempt_outcome outcome)
{
    if (state_ == attempt_state::ended)
    {
        return;
    }
    state_ = attempt_state::ended;
    report_.outcome = outcome;
    report_.total = boot_now() - arrival_;
    control_.finish(report_);
}

} // namespace hickorygap
