#ifndef HICKORYGAP_PROCESS_CONTROL_CONFIGURATION_TRACKER_HPP
#define HICKORYGAP_PROCESS_CONTROL_CONFIGURATION_TRACKER_HPP

#include "process/membership/version_document.hpp"
#include "version/configuration/configuration.hpp"

#include <absl/status/status.h>

#include <atomic>
#include <span>
#include <vector>

namespace hickorygap
{

// The last accepted ticket that sets the list of voters.
struct voter_change
{
    // Zero while no ticket has set the list.
    configuration_version ticket = 0;
    std::vector<instance_id> voters;
};

// The configuration in force on this instance. The control thread applies
// accepted tickets; any thread reads the current configuration.
class configuration_tracker
{
public:
    configuration_tracker();

    // Applies documents that follow the current version, in order, all or none
    // of them. Error: ticket_invalid when a document that a quorum accepted
    // does not apply here, which means that the instances run different
    // releases; the configuration is then unchanged.
    absl::Status
    apply(std::span<const version_document_ptr> documents, unix_millis now);

    // Never nullptr. Safe from any thread.
    configuration_ptr current() const
    {
        return current_.load();
    }

    const voter_change& last_voter_change() const
    {
        return voter_change_;
    }

    // When the current version came into force here; zero at version 0.
    unix_millis since() const
    {
        return since_;
    }

private:
    std::atomic<configuration_ptr> current_;
    voter_change voter_change_;
    unix_millis since_ = 0;
};

} // namespace hickorygap

#endif
