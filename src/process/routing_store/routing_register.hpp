#ifndef HICKORYGAP_PROCESS_ROUTING_STORE_ROUTING_REGISTER_HPP
#define HICKORYGAP_PROCESS_ROUTING_STORE_ROUTING_REGISTER_HPP

#include "common/ids.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
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
// far, and the failure domains that operators have evacuated. The first
// document filed under a version is never replaced.
class routing_register
{
public:
    // Applies the data of a log entry. Returns whether its configuration is now
    // the current one. Error: storage_damaged when the entry can't be decoded.
    absl::StatusOr<bool> apply(std::span<const std::uint8_t> entry);

    // Applies the data of an evacuation entry. Error: as above.
    absl::Status apply_evacuation(std::span<const std::uint8_t> entry);

    const std::set<std::string>& evacuated() const
    {
        return evacuated_;
    }

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

    // Log entry that begins or ends the evacuation of a failure domain.
    static std::vector<std::uint8_t>
    encode_evacuation(std::string_view failure_domain, bool active);

private:
    filed_configuration current_;
    std::set<std::string> evacuated_;
};

} // namespace hickorygap

#endif
