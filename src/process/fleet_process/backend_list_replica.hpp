#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_REPLICA_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_REPLICA_HPP

#include "messages/codec.hpp"
#include "request/dispatch/listed_backend.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// Version of the list of backend servers: the term of the leader that published
// it, and a number that grows by one with each version. Zero: no list.
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
    // Entries that a new version changes or adds, and removes.
    struct change_size
    {
        std::size_t changed = 0;
        std::size_t removed = 0;
    };

    // The leader's side: takes over a newly read list. Nothing when that makes
    // no new version in this epoch.
    std::optional<change_size>
    publish(std::uint64_t epoch, std::span<const listed_backend> list);

    // The followers' side. False when the message does not follow on what is
    // held, is older, or is damaged.
    bool apply(const wire::backends_push_msg& message);

    // What takes a follower from the version that it holds to this one; the
    // whole list where the held version is not known here. Nothing before the
    // first version.
    std::optional<wire::backends_push_msg>
    changes_since(backend_list_version held) const;

    // Replaces the list by one that this router read itself; what follows must
    // be complete.
    void replace(std::span<const listed_backend> list);

    // Zero before the first version and after replace.
    backend_list_version version() const
    {
        return version_;
    }
    std::vector<listed_backend> list() const;

private:
    struct item
    {
        listed_backend backend;
        backend_list_version changed_at;
    };

    change_size
    update(std::span<const listed_backend> list, backend_list_version version);
    void remove(const std::string& id, backend_list_version version);
    void remember_version(backend_list_version version);

    backend_list_version version_;

    // Older versions are not taken over, also after replace.
    backend_list_version floor_;
    std::map<std::string, item> items_;

    // Entries that are gone, with the version that removed them.
    std::map<std::string, backend_list_version> removed_;

    // Versions since which all changes are known, the oldest first.
    std::deque<backend_list_version> known_;
};

} // namespace hickorygap

#endif
