#include "process/membership/version_document.hpp"

#include <algorithm>

namespace hickorygap
{

wire::version_entry_msg to_wire(const version_document& document)
{
    wire::version_entry_msg entry;
    entry.version = document.version;
    entry.document = document.document;
    entry.accepted_unix_ms = document.accepted;
    entry.chain.assign(document.chain.begin(), document.chain.end());
    return entry;
}

version_document from_wire(const wire::version_entry_msg& entry)
{
    version_document document;
    document.version = entry.version;
    document.document = entry.document;
    document.accepted = entry.accepted_unix_ms;
    if (entry.chain.size() == document.chain.size())
    {
        std::copy(
            entry.chain.begin(), entry.chain.end(), document.chain.begin());
    }
    return document;
}

} // namespace hickorygap
