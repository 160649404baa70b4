#ifndef HICKORYGAP_VERSION_ROUTING_CONFIGURATION_FORMAT_HPP
#define HICKORYGAP_VERSION_ROUTING_CONFIGURATION_FORMAT_HPP

#include "version/routing/routing_configuration.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace hickorygap
{

// Largest configuration document that operators may submit.
inline constexpr std::size_t max_configuration_document_bytes =
    std::size_t{4} * 1024 * 1024;

// Decoder for the configuration documents that operators submit.
class configuration_format
{
public:
    configuration_format() = default;
    configuration_format(const configuration_format&) = delete;
    configuration_format& operator=(const configuration_format&) = delete;
    virtual ~configuration_format() = default;

    // Errors: ticket_invalid when the document can't be parsed completely or
    // its content is invalid; the message states what to correct.
    virtual absl::StatusOr<std::shared_ptr<const routing_configuration>>
    decode(std::string_view document) const = 0;
};

} // namespace hickorygap

#endif
