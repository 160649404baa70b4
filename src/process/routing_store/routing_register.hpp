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

// A routing configuration as an operator filed it.
struct filed_configuration
{
    // Zero: none was filed yet.
    configuration_version version = 0;

    std::string document;
};

// Replicated state: the configuration with the highest version so far. The
// first content under a version stands.
class routing_register
{
public:
    // Applies the data of a log entry. True when it is now in force. Error:
    // storage_damaged.
    absl::StatusOr<bool> apply(std::span<const std::uint8_t> entry);

    const filed_configuration& current() const
    {
        return current_;
    }

    std::vector<std::uint8_t> snapshot() const;

    // Error: storage_damaged.
    absl::Status restore(std::span<const std::uint8_t> snapshot);

    // Data of a log entry that follows directly on the state of this register:
    // no other configuration may stand between them in the log.
    std::vector<std::uint8_t>
    encode_entry(const filed_configuration& configuration) const;

private:
    filed_configuration current_;
};

} // namespace hickorygap

#endif
