#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_REPLICA_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_REPLICA_HPP

#include "messages/codec.hpp"
#include "request/dispatch/listed_backend.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// Version of the list of backend servers: the leader's term, and a number that
// grows by one with each change.
struct backend_list_version
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(
        const backend_list_version&, const backend_list_version&) = default;
};

// The leader's side: turns complete lists into numbered changes.
class backend_list_publisher
{
public:
    // Starts a new numbering. The first list after it is sent whole.
    void start_epoch(std::uint64_t epoch);

    // The change that the list makes, or nothing when it makes none.
    std::optional<wire::backends_push_msg>
    publish(std::span<const listed_backend> list);

    // The whole list; nothing before the first one of the epoch.
    std::optional<wire::backends_push_msg> complete() const;

    backend_list_version version() const
    {
        return version_;
    }

private:
    backend_list_version version_;
    std::map<std::string, listed_backend> entries_;
};

// The routers' side: follows the changes.
class backend_list_replica
{
public:
    // Applies a message. False when it does not follow on what is held, so
    // that the whole list is needed, or is older.
    bool apply(const wire::backends_push_msg& message);

    // Replaces the list by one that this router read itself; what the leader
    // sends next must be complete.
    void replace(std::span<const listed_backend> list);

    backend_list_version version() const
    {
        return version_;
    }
    std::vector<listed_backend> list() const;

private:
    backend_list_version version_;
    std::map<std::string, listed_backend> entries_;
};

} // namespace hickorygap

#endif
