#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_VERSION_DOCUMENT_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_VERSION_DOCUMENT_HPP

#include "common/hashing.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <memory>
#include <vector>

namespace hickorygap
{

// One accepted ticket as it spreads: its text and its link in the chain.
struct version_document
{
    configuration_version version = 0;
    std::vector<std::uint8_t> document;
    unix_millis accepted = 0;

    // Digest of the ticket's content, part of the chain.
    digest content_digest{};

    // ticket_chain after this document; the
    // chain of version 0 is all zeros.
    digest chain{};
};

using version_document_ptr = std::shared_ptr<const version_document>;

// Conversions from and to the wire. The decoded chain is wrong when the wire
// does not carry exactly 32 bytes, and then fails verification.
wire::version_entry_msg to_wire(const version_document& document);
version_document from_wire(const wire::version_entry_msg& entry);

} // namespace hickorygap

#endif
