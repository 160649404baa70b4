#include "process/membership/version_document.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

digest digest_of(const std::vector<std::uint8_t>& bytes)
{
    digest result{};
    if (bytes.size() == result.size())
    {
        std::copy(bytes.begin(), bytes.end(), result.begin());
    }
    return result;
}

} // namespace

wire::version_entry_msg to_wire(const version_document& document)
{
    wire::version_entry_msg entry;
    entry.version = document.version;
    entry.document = document.document;
    entry.accepted_unix_ms = document.accepted;
    entry.chain.assign(document.chain.begin(), document.chain.end());
    entry.content_digest.assign(
        document.content_digest.begin(), document.content_digest.end());
    return entry;
}

version_document from_wire(const wire::version_entry_msg& entry)
{
    version_document document;
    document.version = entry.version;
    document.document = entry.document;
    document.accepted = entry.accepted_unix_ms;
    document.chain = digest_of(entry.chain);
    document.content_digest = digest_of(entry.content_digest);
    return document;
}

} // namespace hickorygap
