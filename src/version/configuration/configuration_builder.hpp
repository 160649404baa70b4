#ifndef HICKORYGAP_VERSION_CONFIGURATION_CONFIGURATION_BUILDER_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_CONFIGURATION_BUILDER_HPP

#include "version/configuration/ticket.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace hickorygap
{

// Builds a configuration by applying tickets to an earlier one, in ascending
// order of their numbers. The first error is kept and returned by build(); all
// errors are of kind ticket_invalid.
class configuration_builder
{
public:
    // Starts from the empty configuration.
    configuration_builder();

    // Starts from a copy of `previous`; nullptr stands for the empty
    // configuration.
    explicit configuration_builder(const configuration_ptr& previous);

    // Applies one ticket; `accepted` becomes the configuration's acceptance
    // time. Checks the ticket's number, voters, hash collisions and API keys
    // against the state before the ticket.
    configuration_builder&
    apply(const ticket& change, unix_millis accepted = 0);

    // Checks references and addresses across the whole configuration, computes
    // the cells and returns it. The builder must not be used afterwards.
    absl::StatusOr<configuration_ptr> build();

private:
    void fail(std::string_view message);
    void apply_voters(const std::vector<instance_id>& voters);
    void check_references();
    void check_addresses();
    void apply_organisations(const ticket& change);
    void add_api_key(const digest& key, const organisation& owner);

    template <typename Object>
    void insert_or_replace(
        std::map<std::uint64_t, Object>& objects, const Object& object);
    template <typename Object>
    void
    remove(std::map<std::uint64_t, Object>& objects, const std::string& name);

    std::shared_ptr<configuration> result_;
    absl::Status error_;
};

// A parsed ticket with the configuration that it results in.
struct checked_ticket
{
    ticket change;
    configuration_ptr result;
};

// Parses a ticket and builds the configuration that it would result in, without
// accepting it. `previous` may be nullptr. Errors: ticket_invalid.
absl::StatusOr<checked_ticket> check_ticket(
    std::string_view text, const configuration_ptr& previous,
    unix_millis accepted = 0);

} // namespace hickorygap

#endif
