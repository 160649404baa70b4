#ifndef HICKORYGAP_PROCESS_ROUTING_STORE_ROUTING_REGISTER_HPP
#define HICKORYGAP_PROCESS_ROUTING_STORE_ROUTING_REGISTER_HPP

#include "common/ids.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// A routing configuration, with the document exactly as an operator filed it.
struct filed_configuration
{
    // Zero when no configuration has been filed yet.
    configuration_version version = 0;

    std::string document;
};

// Replicated state machine: holds the configuration with the highest version so
// far. The first document filed under a version is never replaced.
class routing_register
{
public:
    // Applies the data of a log entry. Returns whether its configuration is now
    // the current one. Error: storage_damaged when the entry can't be decoded.
    absl::StatusOr<bool> apply(std::span<const std::uint8_t> entry);

    const filed_configuration& current() const
    {
        return current_;
    }

    std::vector<std::uint8_t> snapshot() const;

    // Replaces the state by that of a snapshot. Error: storage_damaged when it
    // can't be decoded.
    absl::Status restore(std::span<const std::uint8_t> snapshot);

    // Encodes a log entry as the difference to the state of this register. It
    // is valid only when no other configuration precedes it in the log after
    // this state.
    std::vector<std::uint8_t>
    encode_entry(const filed_configuration& configuration) const;

private:
    filed_configuration current_;
};

} // namespace hickorygap

#endif
