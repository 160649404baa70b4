#ifndef HICKORYGAP_PROCESS_OPERATORS_OPERATOR_CLIENT_HPP
#define HICKORYGAP_PROCESS_OPERATORS_OPERATOR_CLIENT_HPP

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

// Response to an accepted ticket.
struct ticket_receipt
{
    configuration_version number = 0;
    unix_millis accepted = 0;
    digest content_digest{};

    // True when a ticket with the same number and content was accepted before.
    bool duplicate = false;

    // The stored comment, set when it differs from the one just sent. Comments
    // are not part of the content digest, so a repeated ticket may carry
    // another comment, but an accepted ticket never changes.
    std::optional<std::string> recorded_comment;
};

// Builds the receipt for an accepted ticket. recorded_text is the document that
// was first accepted under its number.
ticket_receipt make_ticket_receipt(
    const ticket& filed, std::string_view recorded_text, unix_millis accepted,
    bool duplicate);

// State of an instance as seen by the gossip members of the fleet.
enum class instance_state
{
    alive,
    suspect,
    dead,
    // Alive, but unable to receive newer tickets; it refuses new requests.
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

    // When the instance applied the version; zero when unknown.
    unix_millis since = 0;
    bool ready = false;
};

struct backend_server_in_force
{
    std::string name;
    std::string service;
    backend_server_state state = backend_server_state::serving;

    // Number of the last ticket that the backend server confirmed.
    configuration_version version = 0;
    unix_millis since = 0;

    // Whether it rejects commands with an outdated fencing number.
    bool checks_fencing = true;
};

// Configuration version applied by each instance and backend server, and
// since when.
struct in_force_report
{
    configuration_version version = 0;

    // Time since which every live instance has the version; absent while at
    // least one lacks it.
    std::optional<unix_millis> fleet_since;

    // Whether a quorum of voters confirmed that no later version was accepted;
    // otherwise the report may be stale.
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

// State of the instance that serves the request.
struct instance_status
{
    instance_id id = 0;
    std::string name;
    std::string failure_domain;
    unix_millis started = 0;
    readiness ready = readiness::starting;
    configuration_version version = 0;
    voter_role role = voter_role::none;

    // Current leader of the voters; zero when unknown.
    instance_id leader = 0;
    std::uint64_t term = 0;
    std::vector<instance_id> voters;
    std::uint32_t members_alive = 0;
    std::uint32_t members_known = 0;
    std::uint64_t requests_in_flight = 0;

    // Problems that need an operator's attention, e.g. "all voters down".
    std::vector<std::string> conditions;
};

// Operator requests to the control thread. All functions are thread-safe and
// return within a few seconds.
class operator_client
{
public:
    virtual ~operator_client() = default;

    // Submits a ticket. Errors: ticket_conflict (next_free_number_of gives the
    // next number), ticket_invalid, no_quorum, not_leader and storage_failed
    // mean that it was not accepted; outcome_unknown means that it may have
    // been, and that submitting the same ticket again is safe.
    virtual absl::StatusOr<ticket_receipt>
    file_ticket(std::string_view text) = 0;

    // All accepted tickets, ordered by number.
    virtual absl::StatusOr<std::vector<accepted_ticket>> tickets() = 0;

    // The accepted ticket with the number; nullopt when there is none.
    virtual absl::StatusOr<std::optional<accepted_ticket>>
    ticket(configuration_version number) = 0;

    virtual absl::StatusOr<in_force_report> in_force() = 0;
    virtual absl::StatusOr<instance_status> status() = 0;

    // Decision records in the store of this instance; storage_failed when it
    // has no store.
    virtual absl::StatusOr<decision_list>
    decisions(const decision_query& query) = 0;

    // Burn rates of the error budgets.
    virtual absl::StatusOr<burn_report> burn() = 0;
};

} // namespace hickorygap

#endif
