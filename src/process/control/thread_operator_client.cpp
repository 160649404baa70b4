#include "process/control/thread_operator_client.hpp"

#include "process/control/operator_reports.hpp"

#include <fmt/format.h>

#include <span>

namespace hickorygap
{

namespace
{

// Time for a ticket to be accepted. It outlasts an election, which takes up to
// two seconds; an operator who gets no answer files the same ticket again.
constexpr duration filing_timeout = std::chrono::seconds{8};

// Time for a quorum to confirm a read.
constexpr duration read_timeout = std::chrono::seconds{3};

std::vector<std::uint8_t> encode_ticket(const ticket& change)
{
    wire::ticket_entry_msg entry;
    entry.number = change.document.number;
    entry.document.assign(
        change.document.text.begin(), change.document.text.end());
    entry.digest.assign(
        change.document.content_digest.begin(),
        change.document.content_digest.end());
    return encode_table<wire::ticket_entry>(entry);
}

absl::StatusOr<ticket_receipt>
make_receipt(const ticket& change, const proposal_result& result)
{
    switch (result.status)
    {
    case wire::proposal_status::accepted:
    case wire::proposal_status::duplicate:
        return make_ticket_receipt(
            change,
            {reinterpret_cast<const char*>(result.recorded.data()),
             result.recorded.size()},
            result.accepted, result.status == wire::proposal_status::duplicate);
    case wire::proposal_status::conflict:
        return make_ticket_conflict(change.document.number, result.version + 1);
    case wire::proposal_status::invalid:
        return make_error(error_kind::ticket_invalid, result.detail);
    case wire::proposal_status::no_quorum:
        break;
    default:
        return make_error(error_kind::no_quorum, result.detail);
    }
    if (result.is_final)
    {
        return make_error(
            error_kind::no_quorum,
            "no leader of the voters can be reached, so the ticket was not "
            "accepted; file it again when a majority of the voters is up");
    }
    return make_error(
        error_kind::outcome_unknown,
        "no answer came from the voters in time; file the same ticket again, "
        "it takes effect at most once");
}

std::string_view text_of(const version_document& document)
{
    return {
        reinterpret_cast<const char*>(document.document.data()),
        document.document.size()};
}

accepted_ticket make_accepted(const version_document& document)
{
    accepted_ticket result;
    result.accepted = document.accepted;
    result.chain = document.chain;
    const auto parsed = parse_ticket(text_of(document));
    if (parsed.ok())
    {
        result.document = parsed->document;
    }
    result.document.number = document.version;
    result.document.text = text_of(document);
    return result;
}

// Adds the names of the backend servers and organisations that the records
// refer to, where the current configuration still has them.
void add_names(decision_list& list, const configuration& current)
{
    for (const auto& [id, server] : current.backend_servers())
    {
        list.names[id] = server.name;
    }
    for (const stored_decision& decision : list.decisions)
    {
        const organisation* found =
            current.find_organisation(decision.record.organisation);
        if (found != nullptr)
        {
            list.names[found->id] = found->name;
        }
    }
}

absl::Status make_stopped_error()
{
    return make_error(
        error_kind::draining,
        "this instance is shutting down; ask another one");
}

template <typename Result>
absl::StatusOr<Result> value_or_stopped_error(std::optional<Result> answer)
{
    if (!answer)
    {
        return make_stopped_error();
    }
    return *std::move(answer);
}

} // namespace

thread_operator_client::thread_operator_client(
    control_thread& control, const burn_windows& burn, double error_budget,
    std::string name)
    : control_(control)
    , burn_(burn)
    , error_budget_(error_budget)
    , name_(std::move(name))
{
}

absl::StatusOr<ticket_receipt>
thread_operator_client::file_ticket(std::string_view text)
{
    const auto change = parse_ticket(text);
    if (!change.ok())
    {
        return change.status();
    }
    const proposal_result result =
        control_
            .propose(
                wire::entry_kind::ticket, encode_ticket(*change),
                boot_now() + filing_timeout)
            ->wait();
    return make_receipt(*change, result);
}

absl::StatusOr<std::vector<accepted_ticket>> thread_operator_client::tickets()
{
    using documents = std::vector<version_document_ptr>;
    const auto found = control_.run_and_wait<documents>(
        [](control_node& node, const clock_reading&)
        {
            documents result;
            for (configuration_version version = 1;
                 version <= node.versions().version(); ++version)
            {
                result.push_back(node.versions().find(version));
            }
            return result;
        });
    if (!found)
    {
        return make_stopped_error();
    }
    std::vector<accepted_ticket> result;
    result.reserve(found->size());
    for (const version_document_ptr& document : *found)
    {
        result.push_back(make_accepted(*document));
    }
    return result;
}

absl::StatusOr<std::optional<accepted_ticket>>
thread_operator_client::ticket(configuration_version number)
{
    const auto found = control_.run_and_wait<version_document_ptr>(
        [number](control_node& node, const clock_reading&)
        { return node.versions().find(number); });
    if (!found)
    {
        return make_stopped_error();
    }
    if (*found == nullptr)
    {
        return std::optional<accepted_ticket>{};
    }
    return std::optional{make_accepted(**found)};
}

absl::StatusOr<in_force_report> thread_operator_client::in_force()
{
    const proposal_result read =
        control_.read_version(boot_now() + read_timeout)->wait();
    const auto report = control_.run_and_wait<in_force_report>(
        [](control_node& node, const clock_reading&)
        { return make_in_force_report(node); });
    if (!report)
    {
        return make_stopped_error();
    }
    in_force_report result = *report;
    result.quorum_confirmed = read.status == wire::proposal_status::accepted;
    if (!result.quorum_confirmed)
    {
        // Without a quorum, a later version may be in force elsewhere.
        result.fleet_since.reset();
    }
    if (result.quorum_confirmed && read.version > result.version)
    {
        // This instance lags behind the last accepted version, so the whole
        // fleet can't have applied it yet.
        result.version = read.version;
        result.fleet_since.reset();
    }
    return result;
}

absl::StatusOr<instance_status> thread_operator_client::status()
{
    auto answer = control_.run_and_wait<instance_status>(
        [](control_node& node, const clock_reading& now)
        { return make_instance_status(node, now); });
    if (answer)
    {
        answer->name = name_;
    }
    return value_or_stopped_error(std::move(answer));
}

absl::StatusOr<decision_list>
thread_operator_client::decisions(const decision_query& query)
{
    const auto store = control_.run_and_wait<const decision_store*>(
        [](control_node& node, const clock_reading&)
        { return node.decisions(); });
    if (!store)
    {
        return make_stopped_error();
    }
    if (*store == nullptr)
    {
        return make_error(
            error_kind::storage_failed,
            "this instance keeps no decision records; ask a voter");
    }
    auto list = (*store)->query(query);
    if (list.ok())
    {
        add_names(*list, *control_.current_configuration());
    }
    return list;
}

absl::StatusOr<burn_report> thread_operator_client::burn()
{
    const configuration_ptr current = control_.current_configuration();
    return burn_.report(
        error_budget_,
        [&current](organisation_id id)
        {
            const organisation* found = current->find_organisation(id);
            return found == nullptr ? fmt::format("{:016x}", id) : found->name;
        },
        boot_now());
}

} // namespace hickorygap
