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

// Version of the list of backend servers: the term of the leader that published
// it, and a number that grows by one with each version.
struct backend_list_version
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(
        const backend_list_version&, const backend_list_version&) = default;
};

// A copy of the list of backend servers. The leader publishes versions of it;
// the other voters and the routers follow them. A new leader goes on from its
// own copy, so that a change of leader does not send the whole list again.
class backend_list_replica
{
public:
    // The leader's side: the change that a newly read list makes, or nothing
    // when it makes none in this epoch. Applied already.
    std::optional<wire::backends_push_msg>
    publish(std::uint64_t epoch, std::span<const listed_backend> list);

    // The followers' side. False when the message does not follow on what is
    // held, so that the whole list is needed, or is older, or damaged.
    bool apply(const wire::backends_push_msg& message);

    // The whole list; nothing before the first version.
    std::optional<wire::backends_push_msg> complete() const;

    // Replaces the list by one that this router read itself; what follows must
    // be complete.
    void replace(std::span<const listed_backend> list);

    backend_list_version version() const
    {
        return version_;
    }
    std::vector<listed_backend> list() const;

private:
    void set_entries(std::span<const listed_backend> list);

    backend_list_version version_;
    std::map<std::string, listed_backend> entries_;
};

} // namespace hickorygap

#endif
