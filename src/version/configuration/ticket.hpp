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

// Largest ticket, in bytes. A canonical ticket must fit into one log entry in
// one frame between instances (1 MiB) with room for the envelope.
inline constexpr std::size_t ticket_size_limit = 900UL * 1024UL;

// A ticket as it is stored and sent.
struct ticket_document
{
    configuration_version number = 0;

    // Canonical text: every member written out with its default, fixed order,
    // no spacing. A later release with other defaults thus reads it alike.
    std::string text;

    // SHA-256 of the canonical text without the member "comment". Equal for
    // the same content with other spacing, order, comments or defaults.
    digest content_digest{};
};

// A backend server with the name of its service, which error messages and
// the canonical text need.
struct backend_server_change
{
    backend_server server;
    std::string service_name;
};

// A parsed change ticket. Objects that are present replace the whole object
// of that name; nothing in place of an object removes it.
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

// Parses a ticket and checks all that can be checked without the
// configuration before it. Errors are of kind ticket_invalid and name the
// place and the remedy.
absl::StatusOr<ticket> parse_ticket(std::string_view text);

} // namespace hickorygap

#endif
