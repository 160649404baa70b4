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
    // Any other HTTP service; requests are passed through.
    plain
};

// What a service promises to requests of one rank.
struct rank_policy
{
    // Time from arrival to the first byte of the answer.
    duration target{std::chrono::seconds{10}};

    // Share of the capacity that this rank keeps while higher ranks flood,
    // 0 to 1.
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

    // False for calls that must run at most once.
    bool repeatable = true;

    std::array<rank_policy, rank_count> ranks;

    // No engine may carry more than this multiple of the mean load.
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

    // Requests that it can run at once.
    std::uint32_t slots = 8;
    backend_server_state state = backend_server_state::serving;

    // Whether it refuses orders that carry an old fencing number.
    bool checks_fencing = true;
};

struct organisation
{
    organisation_id id = 0;
    std::string name;
    std::vector<digest> api_key_digests;
    rank highest_rank = rank::normal;

    // Share in the max-min fair division of a rank's capacity; positive.
    double weight = 1.0;
};

// A group of 4 to 16 backend servers of one service that one owner places
// requests on. Smaller only where the service has fewer backend servers.
struct cell
{
    cell_id id = 0;
    service_id service = 0;
    std::vector<backend_server_id> backend_servers;
};

// Everything that the accepted tickets up to one number define. Immutable;
// shared between threads. Made by configuration_builder.
class configuration
{
public:
    configuration_version version() const
    {
        return version_;
    }

    // When the ticket with this version's number was accepted.
    unix_millis accepted() const
    {
        return accepted_;
    }

    // Lookups return nullptr when nothing has that identifier.
    const service* find_service(service_id id) const;
    const backend_server* find_backend_server(backend_server_id id) const;
    const organisation* find_organisation(organisation_id id) const;
    const cell* find_cell(cell_id id) const;

    // Engine service of that model name; the first by name when several
    // services run the model.
    const service* find_service_by_model(std::string_view model) const;
    const organisation* find_organisation_by_key(const digest& key) const;

    // Cells of a service in rendezvous order for a chat: first choice first.
    // Empty when the service has no backend servers.
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
