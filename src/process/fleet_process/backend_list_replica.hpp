#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_REPLICA_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_LIST_REPLICA_HPP

#include "messages/codec.hpp"
#include "request/dispatch/listed_backend.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// Version of the list of backend servers: the term of the leader that published
// it, and a sequence number that the leader increments with each version. Both
// are zero while there is no list.
struct backend_list_version
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(
        const backend_list_version&, const backend_list_version&) = default;
};

// A replica of the list of backend servers. The leader publishes versions of
// it; the other voters and the routers apply them as followers. A new leader
// continues from its own replica, so that a change of leader does not send the
// whole list to all routers again.
class backend_list_replica
{
public:
    // Numbers of entries that a new version adds or changes, and removes.
    struct change_size
    {
        std::size_t changed = 0;
        std::size_t removed = 0;
    };

    // For the leader: publishes a newly read list as the next version in this
    // epoch. Nothing when the list is unchanged in the same epoch, and so makes
    // no new version.
    std::optional<change_size>
    publish(std::uint64_t epoch, std::span<const listed_backend> list);

    // For followers: applies a published version. False when the message is not
    // based on the version held here, is older than it, or can't be decoded.
    bool apply(const wire::backends_push_msg& message);

    // Message that brings a follower from the version that it holds to the
    // current one; it contains the whole list when the changes since the held
    // version are not known here. Nothing before the first version.
    std::optional<wire::backends_push_msg>
    changes_since(backend_list_version held) const;

    // Replaces the list by one that this router read itself, with the servers
    // marked that are in failure domains with evacuated servers. The next
    // message that is applied must then contain the whole list.
    void replace(std::span<const listed_backend> list);

    // Zero before the first version and after replace.
    backend_list_version version() const
    {
        return version_;
    }
    std::vector<listed_backend> list() const;

private:
    struct replica_entry
    {
        listed_backend backend;
        backend_list_version changed_at;
    };

    std::set<std::string> evacuated_domains() const;
    change_size
    update(std::span<const listed_backend> list, backend_list_version version);
    void remove_entry(const std::string& id, backend_list_version version);
    void set_version(backend_list_version version);

    backend_list_version version_;

    // Highest version that was published or applied here. Unlike version_ it is
    // kept by replace, so that an older version is not applied afterwards.
    backend_list_version highest_version_;
    std::map<std::string, replica_entry> entries_;

    // Ids of removed entries, with the version that removed them.
    std::map<std::string, backend_list_version> removed_;

    // Versions since which all changes are known, in ascending order.
    std::deque<backend_list_version> known_versions_;
};

// Marks the servers of these failure domains as evacuated and leaving.
void mark_evacuated(
    std::span<listed_backend> list, const std::set<std::string>& domains);

} // namespace hickorygap

#endif
