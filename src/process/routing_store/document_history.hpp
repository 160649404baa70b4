#ifndef HICKORYGAP_PROCESS_ROUTING_STORE_DOCUMENT_HISTORY_HPP
#define HICKORYGAP_PROCESS_ROUTING_STORE_DOCUMENT_HISTORY_HPP

#include "messages/codec.hpp"
#include "process/routing_store/routing_register.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace hickorygap
{

// The newest configurations that were in force, so that a router that holds one
// of them gets only the difference.
class document_history
{
public:
    // Adds the version that is in force now. Older ones are dropped beyond
    // some versions or bytes.
    void add(const filed_configuration& configuration);

    // Zero before the first one.
    configuration_version newest() const
    {
        return documents_.empty() ? 0 : documents_.back().version;
    }

    // What takes a router from the version that it holds to the newest one;
    // the whole document where the held version is not known here. Nothing
    // when there is none or it holds the newest.
    std::optional<wire::routing_push_msg>
    changes_since(configuration_version held) const;

private:
    std::deque<filed_configuration> documents_;
    std::size_t bytes_ = 0;
};

} // namespace hickorygap

#endif
