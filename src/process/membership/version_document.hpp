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

// One accepted ticket as instances replicate it: its text and its link in the
// hash chain.
struct version_document
{
    configuration_version version = 0;
    std::vector<std::uint8_t> document;
    unix_millis accepted = 0;

    // Digest of the ticket's content, part of the chain.
    digest content_digest{};

    // Result of ticket_chain for this document; all zeros at version 0.
    digest chain{};
};

using version_document_ptr = std::shared_ptr<const version_document>;

// Conversions to and from the wire format. A digest that is not exactly 32
// bytes long on the wire is decoded as zeros, so that verification of the chain
// fails.
wire::version_entry_msg to_wire(const version_document& document);
version_document from_wire(const wire::version_entry_msg& entry);

} // namespace hickorygap

#endif
