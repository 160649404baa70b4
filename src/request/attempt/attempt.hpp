#ifndef HICKORYGAP_REQUEST_ATTEMPT_ATTEMPT_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_ATTEMPT_HPP

#include "request/attempt/control_client.hpp"

#include <cstdint>
#include <string>

namespace hickorygap
{

enum class attempt_state
{
    // No byte has been sent, so the request has certainly not run.
    not_sent,
    // The backend server may have run any part of the request.
    sent_outcome_unknown,
    ended
};

// Value of the X-Attempt header: "<request in hexadecimal>-<attempt>".
std::string attempt_name(request_id request, std::uint8_t attempt);

// One granted attempt. It is reported to control_client::finish exactly once,
// at the latest by the destructor, so that no grant is leaked.
class attempt
{
public:
    attempt(
        control_client& control, const placement_query& query,
        const placement_grant& grant, time_point arrival);
    ~attempt();
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    attempt_state state() const
    {
        return state_;
    }
    std::string name() const
    {
        return attempt_name(report_.request, report_.attempt);
    }
    backend_server_id backend_server() const
    {
        return report_.backend_server;
    }

    // Call before the first byte is sent to the backend server.
    void mark_sent();

    // Records the time of the first byte of the response; later calls have no
    // effect.
    void mark_first_byte(time_point now);

    void add_cost(std::uint32_t tokens);

    // Ends the attempt; later calls have no effect.
    void end(wire::attempt_outcome outcome);

private:
    control_client& control_;
    attempt_report report_;
    time_point arrival_;
    attempt_state state_ = attempt_state::not_sent;
};

} // namespace hickorygap

#endif
