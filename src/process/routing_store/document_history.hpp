#ifndef HICKORYGAP_PROCESS_ROUTING_STORE_DOCUMENT_HISTORY_HPP
#define HICKORYGAP_PROCESS_ROUTING_STORE_DOCUMENT_HISTORY_HPP

#include "messages/codec.hpp"
#include "process/routing_store/routing_register.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace hickorygap
{

// The most recent committed configurations, so that a router that holds one of
// them receives only the difference to the newest.
class document_history
{
public:
    // Adds the newest committed version. The oldest ones are dropped beyond a
    // limit of versions and of bytes; the newest always stays.
    void add(const filed_configuration& configuration);

    // Newest version; zero when there is none.
    configuration_version newest() const
    {
        return documents_.empty() ? 0 : documents_.back().version;
    }

    // Message that takes a router from the version that it holds to the newest:
    // the difference, or the whole document when the held version is not in the
    // history. Nothing when the history is empty or the router holds the newest
    // version.
    std::optional<wire::routing_push_msg>
    changes_since(configuration_version held) const;

private:
    std::deque<filed_configuration> documents_;
    std::size_t bytes_ = 0;
};

} // namespace hickorygap

#endif
