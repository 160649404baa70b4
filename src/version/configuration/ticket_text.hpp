#ifndef HICKORYGAP_VERSION_CONFIGURATION_TICKET_TEXT_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_TICKET_TEXT_HPP

#include "version/configuration/ticket.hpp"

#include <string>

namespace hickorygap
{

// Canonical text of a ticket; see ticket_document. The content digest is
// computed without the member "comment".
std::string canonical_text(const ticket& source, bool with_comment);

} // namespace hickorygap

#endif
