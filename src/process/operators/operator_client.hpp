#ifndef HICKORYGAP_CONNECTION_HTTP_OPERATOR_CLIENT_HPP
#define HICKORYGAP_CONNECTION_HTTP_OPERATOR_CLIENT_HPP

#include "process/decision_record/decision_query.hpp"
#include "process/metrics/burn_report.hpp"
#include "request/attempt/control_client.hpp"
#include "version/configuration/ticket.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Answer to a ticket that is accepted.
struct ticket_receipt
{
    configuration_version number = 0;
    unix_millis accepted = 0;
    digest content_digest{};

    // True when the same content had been accepted under the number before.
    bool duplicate = false;

    // Set when the comment differs from the one that was accepted first, which
    // stands: a comment is no content, and accepted tickets never change.
    std::optional<std::string> recorded_comment;
};

// Receipt for a ticket that is accepted. recorded_text: the document that was
// accepted first under its number.
ticket_receipt make_ticket_receipt(
    const ticket& filed, std::string_view recorded_text, unix_millis accepted,
    bool duplicate);

// What the fleet's members say about one of its instances.
enum class instance_state
{
    alive,
    suspect,
    dead,
    // Alive, but can't learn of newer tickets and takes no new work.
    partitioned
};

struct instance_in_force
{
    instance_id id = 0;
    std::string name;
    std::string address;
    std::string failure_domain;
    instance_state state = instance_state::alive;
    configuration_version version = 0;

    // When the instance applied the version; zero when not known.
    unix_millis since = 0;
    bool ready = false;
};

struct backend_server_in_force
{
    std::string name;
    std::string service;
    backend_server_state state = backend_server_state::serving;

    // Number of the last ticket that the backend server has confirmed.
    configuration_version version = 0;
    unix_millis since = 0;

    // Whether it refuses orders with an old fencing number.
    bool checks_fencing = true;
};

// Which configuration is in force where, and since when.
struct in_force_report
{
    configuration_version version = 0;

    // Moment from which every live instance had the version; absent while
    // one still lacks it.
    std::optional<unix_millis> fleet_since;

    // Whether a quorum of voters confirmed that no later version has been
    // accepted; otherwise the report may be out of date.
    bool quorum_confirmed = false;
    std::vector<instance_in_force> instances;
    std::vector<backend_server_in_force> backend_servers;
};

enum class voter_role
{
    none,
    learner,
    follower,
    candidate,
    leader
};

// State of the instance that answers.
struct instance_status
{
    instance_id id = 0;
    std::string name;
    std::string failure_domain;
    unix_millis started = 0;
    readiness ready = readiness::starting;
    configuration_version version = 0;
    voter_role role = voter_role::none;

    // Leader of the voters as far as known; zero when unknown.
    instance_id leader = 0;
    std::uint64_t term = 0;
    std::vector<instance_id> voters;
    std::uint32_t members_alive = 0;
    std::uint32_t members_known = 0;
    std::uint64_t requests_in_flight = 0;

    // Conditions that an operator should know of, e.g. "all voters down".
    std::vector<std::string> conditions;
};

// What operators ask of the control thread. All functions may be called from
// any thread and return within a few seconds.
class operator_client
{
public:
    virtual ~operator_client() = default;

    // Files a ticket. Errors: ticket_conflict (with next_free_number_of),
    // ticket_invalid, no_quorum or not_leader (not accepted), storage_failed
    // (not accepted), outcome_unknown (the same ticket may be filed again).
    virtual absl::StatusOr<ticket_receipt>
    file_ticket(std::string_view text) = 0;

    // All accepted tickets in order of their numbers.
    virtual absl::StatusOr<std::vector<accepted_ticket>> tickets() = 0;

    // One accepted ticket; nothing when none has the number.
    virtual absl::StatusOr<std::optional<accepted_ticket>>
    ticket(configuration_version number) = 0;

    virtual absl::StatusOr<in_force_report> in_force() = 0;
    virtual absl::StatusOr<instance_status> status() = 0;

    // Records that this instance's store holds; storage_failed when it has
    // no store.
    virtual absl::StatusOr<decision_list>
    decisions(const decision_query& query) = 0;

    virtual absl::StatusOr<burn_report> burn() = 0;
};

} // namespace hickorygap

#endif
