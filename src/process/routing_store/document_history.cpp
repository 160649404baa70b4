#include "process/routing_store/document_history.hpp"

#include "common/compression.hpp"

#include <algorithm>
#include <string_view>

namespace hickorygap
{

namespace
{

// Routers miss few versions: in a burst operators file some per second, and
// routers receive each within two seconds.
constexpr std::size_t max_versions = 8;

// A twentieth of the memory of a voter.
constexpr std::size_t max_bytes = std::size_t{12} * 1024 * 1024;

} // namespace

void document_history::add(const filed_configuration& configuration)
{
    if (configuration.version <= newest())
    {
        return;
    }
    documents_.push_back(configuration);
    bytes_ += configuration.document.size();
    while (documents_.size() > 1 &&
           (documents_.size() > max_versions || bytes_ > max_bytes))
    {
        bytes_ -= documents_.front().document.size();
        documents_.pop_front();
    }
}

std::optional<wire::routing_push_msg>
document_history::changes_since(configuration_version held) const
{
    if (documents_.empty() || held >= newest())
    {
        return std::nullopt;
    }
    const filed_configuration& current = documents_.back();
    const auto base =
        std::ranges::find(documents_, held, &filed_configuration::version);
    wire::routing_push_msg push;
    push.version = current.version;
    std::string_view reference;
    if (base != documents_.end())
    {
        push.base_version = held;
        reference = base->document;
    }
    push.document = compress(current.document, reference);
    return push;
}

} // namespace hickorygap
