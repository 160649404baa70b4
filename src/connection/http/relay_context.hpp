#ifndef HICKORYGAP_CONNECTION_HTTP_RELAY_CONTEXT_HPP
#define HICKORYGAP_CONNECTION_HTTP_RELAY_CONTEXT_HPP

#include "connection/http/caller_channel.hpp"
#include "connection/http/relay_options.hpp"
#include "connection/http/relayed_request.hpp"
#include "request/attempt/control_client.hpp"
#include "request/attempt/relay_counters.hpp"
#include "request/attempt/retry_budget.hpp"
#include "request/blame/shared_blame_tracker.hpp"

#include <mutex>
#include <optional>

namespace hickorygap
{

// State shared by the relays of all requests. Thread-safe.
class relay_context
{
public:
    relay_context(
        control_client& control, shared_blame_tracker& blame,
        relay_counters& counters, const relay_options& options);

    control_client& control()
    {
        return control_;
    }
    shared_blame_tracker& blame()
    {
        return blame_;
    }
    relay_counters& counters()
    {
        return counters_;
    }
    const relay_options& options() const
    {
        return options_;
    }

    // Sends and counts a refusal.
    void refuse(caller_channel& caller, const refusal& reason);

    bool try_take_retry(service_id service);
    void on_success(service_id service);

    // Refusal for a request that is quarantined, on this instance or in the
    // fleet, because it crashed backend servers.
    std::optional<refusal> quarantine_refusal(request_fingerprint fingerprint);

    // Whether a backend server refuses the connection of a health check or
    // resets it. A timeout doesn't count as dead.
    bool is_dead(const backend_server& server) const;

    placement_query
    make_query(const relayed_request& request, std::uint8_t attempt);

private:
    control_client& control_;
    shared_blame_tracker& blame_;
    relay_counters& counters_;
    const relay_options options_;
    std::mutex mutex_;
    retry_budget budget_;
};

// Response to the caller when placement refuses a request.
refusal placement_refusal_response(const placement_refusal& refused);

} // namespace hickorygap

#endif
