#ifndef HICKORYGAP_VERSION_ROUTING_ROUTING_CONFIGURATION_HPP
#define HICKORYGAP_VERSION_ROUTING_ROUTING_CONFIGURATION_HPP

#include "common/ids.hpp"
#include "common/text.hpp"
#include "common/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Whether a request whose outcome is unknown may be sent again.
enum class call_kind
{
    // May run any number of times.
    repeatable,

    // May run at most once.
    non_repeatable,

    // The response is a stream of events. May run at most once, unless the
    // route is resumable.
    streaming
};

// One target of a route. Requests are split between the targets in proportion
// to their weights.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

// Forwards requests with one host and path prefix to services.
struct route
{
    std::string name;
    std::string host;

    // Begins and ends with a slash.
    std::string path_prefix;
    call_kind kind = call_kind::repeatable;
    std::vector<weighted_service> targets;

    // Time limit from a request to the end of its response.
    duration timeout{0};

    // Latency objective for a response, or for the first event of a stream.
    duration target_latency{0};

    // Objective for the longest gap between two events of a stream.
    duration target_gap{0};

    // Lower values are served first.
    std::uint32_t priority = 0;

    // Maximum number of backend servers to which one request may be sent.
    std::uint32_t max_attempts = 1;

    // Requests need no API key.
    bool open_to_all = false;

    // Requests list the parts of their prompt, so that requests with common
    // parts can be placed on the same backend server.
    bool prompt_affinity = false;

    // A broken stream may be continued on another backend server.
    bool resumable = false;
};

// Capacity of the engines of a service. All zero for a plain service.
struct engine_limits
{
    std::uint32_t slots = 0;
    std::uint64_t cache_tokens = 0;
    std::uint64_t bytes_per_cached_token = 0;
};

// Group of backend servers that serve the same requests.
struct routed_service
{
    std::string name;
    std::string health_path;

    // Connections that one backend server accepts in total, over all callers.
    std::uint32_t max_connections = 0;
    std::optional<engine_limits> engine;

    // Requests per second that one cold backend server accepts, over all
    // routers; zero for no limit.
    double cold_requests_per_second = 0;

    // Lowest rank_of value that a request to the service can have; computed by
    // build().
    std::uint32_t first_rank = std::numeric_limits<std::uint32_t>::max();
};

// Customer organisation with its API keys.
struct routed_organisation
{
    std::string name;
    std::vector<std::string> api_keys;

    // Takes precedence over the route's priority when set; see rank_of.
    std::optional<std::uint32_t> priority;
};

// Limits on a caller's requests and connections.
struct caller_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;

    // From the first byte of a request to the end of its header.
    duration header_timeout = std::chrono::seconds{3};

    // Longest idle time between two requests on one connection.
    duration idle_timeout = std::chrono::seconds{15};
};

// Complete, validated and immutable configuration of the routers.
class routing_configuration
{
public:
    configuration_version version() const
    {
        return version_;
    }
    const caller_limits& limits() const
    {
        return limits_;
    }
    std::span<const routed_service> services() const
    {
        return services_;
    }
    std::span<const route> routes() const
    {
        return routes_;
    }

    // The host's route with the longest prefix of the path; nullptr when no
    // route matches. The case and the port of the host are ignored.
    const route* find_route(std::string_view host, std::string_view path) const;

    // Scheduling rank of a request, lower values first: ordered by the
    // organisation's priority, then by the route's. The route's priority is
    // used for both when the organisation has none.
    static std::uint32_t
    rank_of(const route& matched, const routed_organisation* organisation);

    // Returns nullptr when no service has the name.
    const routed_service* find_service(std::string_view name) const;

    // Returns nullptr when no organisation has the API key, and for an empty
    // key.
    const routed_organisation* find_organisation(std::string_view key) const;

    // Whether requests need an API key, unless their route is open_to_all. It
    // does not depend on the number of keys: without any, every key is unknown.
    bool requires_key() const
    {
        return requires_key_;
    }

private:
    friend class routing_configuration_builder;

    configuration_version version_ = 0;
    caller_limits limits_;
    std::vector<route> routes_;
    std::vector<routed_service> services_;
    std::vector<routed_organisation> organisations_;
    bool requires_key_ = false;

    // Indexes into routes_ by host, longest prefix first.
    name_map<std::vector<std::size_t>> routes_by_host_;
    name_map<std::size_t> service_positions_;
    name_map<std::size_t> organisations_by_key_;
};

// Collects the parts of a configuration and validates them as a whole.
class routing_configuration_builder
{
public:
    explicit routing_configuration_builder(configuration_version version);

    routing_configuration_builder& add_route(route added);
    routing_configuration_builder& add_service(routed_service added);

    // Also requires keys.
    routing_configuration_builder& add_organisation(routed_organisation added);

    // Requires keys, whether or not an organisation is added.
    routing_configuration_builder& require_key();
    routing_configuration_builder& set_limits(const caller_limits& limits);

    // Errors: ticket_invalid when a route refers to an unknown service, two
    // routes share host and prefix, the weights of a route add up to zero, a
    // timeout is not positive, a prefix lacks a slash, a service name is empty
    // or used twice, or two organisations share a key. The message names the
    // object.
    absl::StatusOr<std::shared_ptr<const routing_configuration>> build();

private:
    absl::Status index_services();
    absl::Status index_routes();
    absl::Status index_organisations();
    absl::Status compute_first_ranks();

    std::shared_ptr<routing_configuration> result_;
};

// The host in lower case and without its port.
std::string normalized_host(std::string_view host);

} // namespace hickorygap

#endif
