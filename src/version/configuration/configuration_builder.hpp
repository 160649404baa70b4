#ifndef HICKORYGAP_VERSION_CONFIGURATION_CONFIGURATION_BUILDER_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_CONFIGURATION_BUILDER_HPP

#include "version/configuration/ticket.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace hickorygap
{

// Makes a configuration from an earlier one and tickets. Tickets must be
// applied in order of their numbers. The first error is kept and returned by
// build(); all errors are of kind ticket_invalid.
class configuration_builder
{
public:
    // Starts from the empty configuration.
    configuration_builder();

    // Starts from a copy; a null pointer stands for the empty configuration.
    explicit configuration_builder(const configuration_ptr& previous);

    // Applies one ticket. `accepted` becomes the configuration's time. Checks
    // against the state before the ticket: number, voters, hash collisions,
    // API keys.
    configuration_builder&
    apply(const ticket& change, unix_millis accepted = 0);

    // Checks the whole result, computes the cells and returns it. The builder
    // must not be used afterwards.
    absl::StatusOr<configuration_ptr> build();

private:
    void fail(std::string_view message);
    void apply_voters(const std::vector<instance_id>& voters);
    void check_references();
    void check_addresses();
    void apply_organisations(const ticket& change);
    void add_api_key(const digest& key, const organisation& owner);

    template <typename Object>
    void put(std::map<std::uint64_t, Object>& objects, const Object& object);
    template <typename Object>
    void
    remove(std::map<std::uint64_t, Object>& objects, const std::string& name);

    std::shared_ptr<configuration> result_;
    absl::Status error_;
};

// What a ticket would lead to.
struct checked_ticket
{
    ticket change;
    configuration_ptr result;
};

// Parses a ticket and builds the configuration that it would lead to, before
// it is accepted. `previous` may be a null pointer.
absl::StatusOr<checked_ticket> ticket_check(
    std::string_view text, const configuration_ptr& previous,
    unix_millis accepted = 0);

} // namespace hickorygap

#endif
