#ifndef HICKORYGAP_REQUEST_DISPATCH_DISPATCH_POLICY_HPP
#define HICKORYGAP_REQUEST_DISPATCH_DISPATCH_POLICY_HPP

#include "common/random.hpp"
#include "request/dispatch/backend_table.hpp"

#include <span>
#include <string_view>

namespace hickorygap
{

// Input of the choice of a backend server.
struct dispatch_query
{
    // Requests with the same key benefit from the same server, which has their
    // prompt prefix cached; zero for none.
    std::uint64_t affinity_key = 0;

    // Tokens of the prompt prefix that requests with the same key share.
    std::uint32_t shared_tokens = 0;

    // Failure domain of this router.
    std::string_view failure_domain;

    // Servers that must not be chosen: they have had this request, or have a
    // limit that is used up.
    std::span<const backend_server_id> excluded;

    // Servers with a limit of requests. They hold few requests whatever the
    // load of the service is, so the mean load is that of the others, unless
    // all have a limit.
    std::span<const backend_server_id> limited = {};
};

// Why a server was chosen; written to the decision log.
enum class dispatch_reason
{
    // The first choice by affinity, or by cost where there is no key.
    preferred,

    // The first choice by affinity was overloaded or unhealthy.
    spilled,

    // All servers are unresponsive; the one whose avoidance ends first was
    // chosen.
    last_resort
};

std::string_view dispatch_reason_name(dispatch_reason reason);

struct dispatch_choice
{
    // nullptr: no server can take the request.
    const backend_record* backend = nullptr;
    dispatch_reason reason = dispatch_reason::preferred;

    // Another server from which the cached prompt prefix can be copied; nullptr
    // when none is likely to have it.
    const backend_record* prefix_source = nullptr;
    double load = 0;
    double mean_load = 0;

    // Mean number of slots of the servers of the service, that is, requests
    // that one processes at the same time.
    double mean_slots = 0;
};

// Chooses a backend server for a request.
class dispatch_policy
{
public:
    dispatch_policy() = default;
    dispatch_policy(const dispatch_policy&) = delete;
    dispatch_policy& operator=(const dispatch_policy&) = delete;
    virtual ~dispatch_policy() = default;

    // members: all servers of the service, leaving ones included.
    virtual dispatch_choice choose(
        std::span<const backend_record* const> members,
        const dispatch_query& query, time_point now) = 0;
};

// Sends requests that share a prompt prefix to the same server while it is
// healthy and within the load bound, and otherwise to the next one in the order
// of rendezvous hashing, which is the same on all routers.
//
// This suits a few popular prompts on many servers: each prefix is cached on
// one server, and on more only as the load requires. Long prefixes may use the
// bound in full; short ones, which are cheap to compute again, give way sooner.
// The first other server in the order is named as the source from which the
// prefix can be copied, for requests that spilled and for new servers.
class prefix_affinity_policy final : public dispatch_policy
{
public:
    dispatch_choice choose(
        std::span<const backend_record* const> members,
        const dispatch_query& query, time_point now) override;
};

// Picks two servers at random and prefers the one with the lower expected time,
// by speed, queue and failure share; the larger the difference, the stronger
// the preference.
//
// This suits short requests of many routers to a few servers of unequal speed:
// load counts are older than a request takes, and if every router chose the
// best server, it would get all requests until the next counts.
class least_cost_policy final : public dispatch_policy
{
public:
    explicit least_cost_policy(std::uint64_t seed);

    dispatch_choice choose(
        std::span<const backend_record* const> members,
        const dispatch_query& query, time_point now) override;

private:
    random_engine random_;
};

} // namespace hickorygap

#endif
