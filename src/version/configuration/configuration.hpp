#ifndef HICKORYGAP_VERSION_CONFIGURATION_CONFIGURATION_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_CONFIGURATION_HPP

#include "common/hashing.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

enum class service_kind
{
    // Streams chat completions and caches prompt prefixes.
    engine,
    // Any other HTTP service; requests are forwarded unchanged.
    plain
};

// Service level of one rank of requests.
struct rank_policy
{
    // Target time from the arrival of a request to the first byte of its
    // response.
    duration target{std::chrono::seconds{10}};

    // Share of the capacity, 0 to 1, that is reserved for this rank when higher
    // ranks overload the service.
    double floor = 0.0;
};

struct service
{
    service_id id = 0;
    std::string name;
    service_kind kind = service_kind::engine;
    std::string model;
    std::string adapter;
    std::string model_version;
    std::string path;

    // False when each call must run at most once.
    bool repeatable = true;

    std::array<rank_policy, rank_count> ranks;

    // Upper bound on the load of each engine, as a multiple of the mean load.
    double load_bound = 1.25;
};

enum class backend_server_state
{
    serving,
    leaving
};

struct backend_server
{
    backend_server_id id = 0;
    std::string name;
    std::string host;
    std::uint16_t port = 0;
    service_id service = 0;
    std::string failure_domain;

    // Requests that the server can run concurrently.
    std::uint32_t slots = 8;
    backend_server_state state = backend_server_state::serving;

    // Whether the server rejects requests with an outdated fencing number.
    bool checks_fencing = true;
};

struct organisation
{
    organisation_id id = 0;
    std::string name;
    std::vector<digest> api_key_digests;
    rank highest_rank = rank::normal;

    // Positive weight in the max-min fair sharing of a rank's capacity.
    double weight = 1.0;
};

// Group of 4 to 16 backend servers of one service, on which one owner places
// requests. Smaller only when the service has fewer backend servers.
struct cell
{
    cell_id id = 0;
    service_id service = 0;
    std::vector<backend_server_id> backend_servers;
};

// State defined by all accepted tickets up to one number. Immutable and shared
// between threads. Created by configuration_builder.
class configuration
{
public:
    configuration_version version() const
    {
        return version_;
    }

    // Acceptance time of the ticket whose number is this version.
    unix_millis accepted() const
    {
        return accepted_;
    }

    // Lookups return nullptr when no object has the identifier.
    const service* find_service(service_id id) const;
    const backend_server* find_backend_server(backend_server_id id) const;
    const organisation* find_organisation(organisation_id id) const;
    const cell* find_cell(cell_id id) const;

    // The engine service that runs the model; the first by name when several
    // services run it.
    const service* find_service_by_model(std::string_view model) const;
    const organisation* find_organisation_by_key(const digest& key) const;

    // Cells of a service in descending order of their rendezvous score for the
    // chat. Empty when the service has no backend servers.
    std::vector<const cell*> cells_for(service_id id, chat_id chat) const;

    const std::map<service_id, service>& services() const
    {
        return services_;
    }
    const std::map<backend_server_id, backend_server>& backend_servers() const
    {
        return backend_servers_;
    }
    const std::map<organisation_id, organisation>& organisations() const
    {
        return organisations_;
    }
    std::span<const cell> cells() const
    {
        return cells_;
    }
    std::span<const instance_id> voters() const
    {
        return voters_;
    }

private:
    friend class configuration_builder;

    configuration_version version_ = 0;
    unix_millis accepted_ = 0;
    std::map<service_id, service> services_;
    std::map<backend_server_id, backend_server> backend_servers_;
    std::map<organisation_id, organisation> organisations_;
    std::map<digest, organisation_id> organisations_by_key_;
    std::vector<cell> cells_;
    std::vector<instance_id> voters_;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace hickorygap

#endif
