#ifndef HICKORYGAP_PROCESS_GATEWAY_PERMIT_CLIENT_HPP
#define HICKORYGAP_PROCESS_GATEWAY_PERMIT_CLIENT_HPP

#include "connection/event/event_loop.hpp"
#include "messages/codec.hpp"
#include "process/gateway/open_queries.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>

namespace hickorygap
{

// Obtains permits to send requests to backend servers with a limit: from the
// leader, or from this router's own share while no leader answers.
//
// After a denial, requests of the same kind are denied here for a short time:
// while callers ask for many times what the servers accept, the queries of all
// routers would otherwise take all of the leader's processor time.
class permit_client
{
public:
    // The loop must outlive the client.
    permit_client(event_loop& loop, std::uint64_t seed);

    // Sends a message to the leader; false when there is no link to one.
    using send_function = std::function<bool(const wire::payloadUnion&)>;
    void set_send(send_function send);

    // A response named this limit, or none. True when it is new. Rejections by
    // a brittle server are reported at once.
    bool on_response(const backend_limit& limit);

    // Asks for a permit to send the request to one of the servers. The function
    // gets that server, or nullopt when none accepts the request; it is called
    // after this returns. Returns the number of the query.
    std::uint32_t
    ask(const permit_request& request, open_queries::result_function on_result);

    // Withdraws a query; its function is not called any more.
    void cancel(std::uint32_t number);

    void on_grant(const wire::permit_grant_msg& grant);

    router_limits& limits()
    {
        return limits_;
    }
    const router_limits& limits() const
    {
        return limits_;
    }

private:
    // Requests that were denied for the same reason.
    struct denied_kind
    {
        std::uint64_t service = 0;
        std::uint64_t software_version = 0;
        std::uint32_t rank_below_first = 0;

        friend auto
        operator<=>(const denied_kind&, const denied_kind&) = default;
    };

    bool send(std::uint32_t number, const permit_request& request);
    std::optional<denied_kind> kind_of(const permit_request& request) const;
    bool is_denied(const std::optional<denied_kind>& kind) const;
    void on_result(const std::optional<denied_kind>& kind, bool is_permitted);
    bool is_leader_silent() const;
    std::optional<backend_server_id>
    take_own_permit(std::span<const backend_server_id> candidates);

    event_loop& loop_;
    router_limits limits_;
    send_function send_;
    open_queries queries_;

    // Until when requests of a kind are denied here.
    std::map<denied_kind, time_point> denied_until_;

    // The last query timed out; the next one that goes to the leader does so at
    // that time.
    bool timed_out_ = false;
    time_point next_trial_;
};

} // namespace hickorygap

#endif
