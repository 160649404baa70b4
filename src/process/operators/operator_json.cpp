#include "process/operators/operator_json.hpp"

#include "common/error.hpp"
#include "common/json.hpp"
#include "process/decision_record/decision_reason.hpp"
#include "version/configuration/rank_names.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <array>
#include <sstream>

namespace hickorygap
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::array<std::string_view, 4> instance_state_names{
    "alive", "suspect", "dead", "partitioned"};
constexpr std::array<std::string_view, 5> voter_role_names{
    "none", "learner", "follower", "candidate", "leader"};
constexpr std::array<std::string_view, 4> readiness_names{
    "ready", "starting", "cut_off", "draining"};

template <typename Enum, std::size_t Count>
std::string
name_of(Enum value, const std::array<std::string_view, Count>& names)
{
    return std::string{names.at(static_cast<std::size_t>(value))};
}

Object::Ptr make_object()
{
    return new Object{Poco::JSON_PRESERVE_KEY_ORDER};
}

std::string to_text(const Object::Ptr& object)
{
    std::ostringstream stream;
    object->stringify(stream);
    return stream.str();
}

std::string hex_id(std::uint64_t id)
{
    return fmt::format("{:016x}", id);
}

// Sets <key>_unix_ms and <key>; both are null when the time is unknown (0).
void set_time(Object& object, const std::string& key, unix_millis time)
{
    if (time == 0)
    {
        object.set(key + "_unix_ms", Poco::Dynamic::Var{});
        object.set(key, Poco::Dynamic::Var{});
        return;
    }
    object.set(key + "_unix_ms", time);
    object.set(key, format_utc(time));
}

Object::Ptr to_object(const accepted_ticket& record)
{
    Object::Ptr object = make_object();
    object->set("ticket", record.document.number);
    set_time(*object, "accepted", record.accepted);
    object->set("digest", to_hex(record.document.content_digest));
    object->set("chain", to_hex(record.chain));
    return object;
}

Object::Ptr to_object(const instance_in_force& instance)
{
    Object::Ptr object = make_object();
    object->set("id", instance.id);
    object->set("name", instance.name);
    object->set("address", instance.address);
    object->set("failure_domain", instance.failure_domain);
    object->set("state", name_of(instance.state, instance_state_names));
    object->set("version", instance.version);
    set_time(*object, "since", instance.since);
    object->set("ready", instance.ready);
    return object;
}

Object::Ptr to_object(const backend_server_in_force& server)
{
    Object::Ptr object = make_object();
    object->set("name", server.name);
    object->set("service", server.service);
    object->set(
        "state",
        server.state == backend_server_state::serving ? "serving" : "leaving");
    object->set("version", server.version);
    set_time(*object, "since", server.since);
    object->set("checks_fencing", server.checks_fencing);
    return object;
}

Object::Ptr
to_object(const stored_decision& decision, const decision_list& list)
{
    const auto name_or_hex_id = [&list](std::uint64_t id)
    {
        const auto found = list.names.find(id);
        return found == list.names.end() ? hex_id(id) : found->second;
    };
    const wire::decision_record_msg& record = decision.record;
    Object::Ptr object = make_object();
    set_time(*object, "time", record.unix_ms);
    object->set("instance", decision.instance);
    object->set("incarnation", decision.incarnation);
    object->set("sequence", decision.sequence);
    object->set("request", hex_id(record.request));
    object->set("chat", hex_id(record.chat));
    object->set("organisation", name_or_hex_id(record.organisation));
    object->set(
        "rank",
        std::string{
            record.rank < rank_count ? rank_names.at(record.rank) : "none"});
    object->set("version", record.version);
    object->set("cell", hex_id(record.cell));
    Array::Ptr candidates = new Array;
    for (std::size_t i = 0; i < record.candidates.size(); ++i)
    {
        Object::Ptr candidate = make_object();
        candidate->set("backend_server", name_or_hex_id(record.candidates[i]));
        if (i < record.loads.size())
        {
            candidate->set("load", record.loads[i]);
        }
        candidates->add(candidate);
    }
    object->set("candidates", candidates);
    object->set("choice", name_or_hex_id(record.choice));
    object->set("reason", std::string{decision_reason_name(record.reason)});
    object->set("outcome", std::string{decision_outcome_name(record.outcome)});
    object->set("queued_ms", record.queued_ms);
    return object;
}

template <typename Values>
Array::Ptr to_array(const Values& values)
{
    Array::Ptr array = new Array;
    for (const auto& value : values)
    {
        array->add(to_object(value));
    }
    return array;
}

// Outcome of a ticket whose submission failed with an error of this kind.
std::string_view ticket_outcome_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::outcome_unknown:
    case error_kind::deadline_exceeded:
    case error_kind::internal:
        return "unknown, file the same ticket again";
    default:
        return "not accepted";
    }
}

} // namespace

std::string to_json(const ticket_receipt& receipt)
{
    Object::Ptr object = make_object();
    object->set("ticket", receipt.number);
    set_time(*object, "accepted", receipt.accepted);
    object->set("digest", to_hex(receipt.content_digest));
    object->set("duplicate", receipt.duplicate);
    if (receipt.recorded_comment)
    {
        object->set("recorded_comment", *receipt.recorded_comment);
    }
    return to_text(object);
}

std::string to_json(std::span<const accepted_ticket> tickets)
{
    Object::Ptr object = make_object();
    object->set(
        "next_free_number",
        tickets.empty() ? 1 : tickets.back().document.number + 1);
    object->set("tickets", to_array(tickets));
    return to_text(object);
}

std::string to_json(const accepted_ticket& record)
{
    Object::Ptr object = to_object(record);
    try
    {
        object->set(
            "document", Poco::JSON::Parser{}.parse(record.document.text));
    }
    catch (const Poco::Exception&)
    {
        // document_text below still shows what is stored.
        object->set("document", Poco::Dynamic::Var{});
    }
    object->set("document_text", record.document.text);
    return to_text(object);
}

std::string to_json(const in_force_report& report)
{
    Object::Ptr object = make_object();
    object->set("version", report.version);
    object->set("quorum_confirmed", report.quorum_confirmed);
    set_time(*object, "fleet_since", report.fleet_since.value_or(0));
    object->set("instances", to_array(report.instances));
    object->set("backend_servers", to_array(report.backend_servers));
    return to_text(object);
}

std::string to_json(const instance_status& status)
{
    Object::Ptr object = make_object();
    object->set("id", status.id);
    object->set("name", status.name);
    object->set("failure_domain", status.failure_domain);
    set_time(*object, "started", status.started);
    object->set("readiness", name_of(status.ready, readiness_names));
    object->set("version", status.version);
    object->set("role", name_of(status.role, voter_role_names));
    object->set("leader", status.leader);
    object->set("term", status.term);
    Array::Ptr voters = new Array;
    for (const instance_id voter : status.voters)
    {
        voters->add(voter);
    }
    object->set("voters", voters);
    object->set("members_alive", status.members_alive);
    object->set("members_known", status.members_known);
    object->set("requests_in_flight", status.requests_in_flight);
    Array::Ptr conditions = new Array;
    for (const std::string& condition : status.conditions)
    {
        conditions->add(condition);
    }
    object->set("conditions", conditions);
    return to_text(object);
}

std::string to_json(const decision_list& list)
{
    Object::Ptr object = make_object();
    Array::Ptr decisions = new Array;
    for (const stored_decision& decision : list.decisions)
    {
        decisions->add(to_object(decision, list));
    }
    object->set("decisions", decisions);
    Array::Ptr gaps = new Array;
    for (const decision_gap& gap : list.gaps)
    {
        Object::Ptr entry = make_object();
        entry->set("instance", gap.instance);
        entry->set("incarnation", gap.incarnation);
        entry->set("first_sequence", gap.first_sequence);
        entry->set(
            "last_sequence", gap.last_sequence == decision_gap::unknown_end
                                 ? Poco::Dynamic::Var{}
                                 : Poco::Dynamic::Var{gap.last_sequence});
        gaps->add(entry);
    }
    object->set("gaps", gaps);
    object->set("truncated", list.truncated);
    return to_text(object);
}

std::string error_json(const absl::Status& status, bool filing)
{
    const error_kind kind = kind_of(status);
    Object::Ptr error = make_object();
    error->set("kind", std::string{error_kind_name(kind)});
    error->set("message", std::string{status.message()});
    if (const auto next_free = next_free_number_of(status))
    {
        error->set("next_free_number", *next_free);
    }
    if (filing)
    {
        error->set("outcome", std::string{ticket_outcome_of(kind)});
    }
    Object::Ptr object = make_object();
    object->set("error", error);
    return to_text(object);
}

int http_status_of(const absl::Status& status)
{
    using response = Poco::Net::HTTPResponse;
    switch (kind_of(status))
    {
    case error_kind::invalid_request:
        return response::HTTP_BAD_REQUEST;
    case error_kind::unauthorized:
        return response::HTTP_UNAUTHORIZED;
    case error_kind::forbidden:
        return response::HTTP_FORBIDDEN;
    case error_kind::request_timeout:
        return response::HTTP_REQUEST_TIMEOUT;
    case error_kind::ticket_conflict:
        return response::HTTP_CONFLICT;
    case error_kind::payload_too_large:
        return response::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case error_kind::ticket_invalid:
        return response::HTTP_UNPROCESSABLE_ENTITY;
    case error_kind::internal:
    case error_kind::storage_damaged:
        return response::HTTP_INTERNAL_SERVER_ERROR;
    default:
        return response::HTTP_SERVICE_UNAVAILABLE;
    }
}

} // namespace hickorygap
