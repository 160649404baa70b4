#ifndef HICKORYGAP_VERSION_CONFIGURATION_TICKET_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_TICKET_HPP

#include "version/configuration/configuration.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Largest ticket, in bytes. The canonical text is stored in one log entry,
// which must fit with its envelope into one frame between instances (1 MiB).
inline constexpr std::size_t max_ticket_bytes = 900UL * 1024UL;

// A ticket as it is stored and sent.
struct ticket_document
{
    configuration_version number = 0;

    // Canonical text: all members in a fixed order without whitespace, with
    // defaults written out, so that a later release with other defaults reads
    // the same content.
    std::string text;

    // SHA-256 of the canonical text without the member "comment". Independent
    // of whitespace, member order, comments and omitted defaults.
    digest content_digest{};
};

// A backend server with the name of its service, which is needed for error
// messages and the canonical text.
struct backend_server_change
{
    backend_server server;
    std::string service_name;
};

// A parsed change ticket. An object replaces the whole object with the same
// name; nullopt removes it.
struct ticket
{
    template <typename Object>
    using changes = std::map<std::string, std::optional<Object>>;

    ticket_document document;
    std::string comment;
    changes<service> services;
    changes<backend_server_change> backend_servers;
    changes<organisation> organisations;
    std::optional<std::vector<instance_id>> voters;
};

// Parses a ticket and makes all checks that don't need the configuration to
// which it is applied. Errors are of kind ticket_invalid; the message names the
// member and the remedy.
absl::StatusOr<ticket> parse_ticket(std::string_view text);

} // namespace hickorygap

#endif
