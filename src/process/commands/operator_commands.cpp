#include "process/commands/operator_commands.hpp"

#include "common/error.hpp"
#include "common/json.hpp"
#include "process/commands/operator_session.hpp"
#include "process/commands/text_table.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <array>
#include <fstream>
#include <functional>
#include <istream>
#include <iterator>
#include <ostream>

namespace hickorygap
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int json_indent = 2;

// Number of hexadecimal digits to which tables shorten a digest.
constexpr std::size_t shown_digest_digits = 12;

using print_function = std::function<void(const Object&, std::ostream&)>;

// The member as text for a table; "-" for null.
std::string display_text(const Object& object, const std::string& key)
{
    const Poco::Dynamic::Var value = object.get(key);
    if (value.isEmpty())
    {
        return "-";
    }
    if (value.isBoolean())
    {
        return value.extract<bool>() ? "yes" : "no";
    }
    return value.toString();
}

std::vector<Object::Ptr>
object_array(const Object& parent, const std::string& key)
{
    std::vector<Object::Ptr> result;
    if (const Array::Ptr array = parent.getArray(key))
    {
        for (std::size_t i = 0; i < array->size(); ++i)
        {
            result.push_back(array->getObject(static_cast<unsigned>(i)));
        }
    }
    return result;
}

exit_code report_usage_error(const absl::Status& status, std::ostream& error)
{
    error << "hickorygap: " << status.message() << "\n";
    return exit_code::usage;
}

// Prints the error response of an instance.
exit_code print_error_response(
    const operator_response& response, command_streams streams, bool json)
{
    if (json)
    {
        streams.out << response.body << "\n";
        return exit_code::refused;
    }
    const Object::Ptr error = response.json->getObject("error");
    if (!error)
    {
        streams.error << "hickorygap: " << response.server
                      << " responded with status " << response.http_status
                      << "\n";
        return exit_code::refused;
    }
    streams.error << "hickorygap: " << display_text(*error, "message") << "\n"
                  << "  kind              " << display_text(*error, "kind")
                  << "\n";
    for (const std::string key : {"outcome", "next_free_number"})
    {
        if (error->has(key))
        {
            streams.error << fmt::format(
                "  {:<16}  {}\n", key, display_text(*error, key));
        }
    }
    return exit_code::refused;
}

// Prints a response, or the error when there is none or it is not 200.
exit_code print_response_or_error(
    const absl::StatusOr<operator_response>& response,
    const command_options& options, command_streams streams,
    const print_function& print)
{
    if (!response.ok())
    {
        streams.error << "hickorygap: " << response.status().message() << "\n";
        return exit_code::unreachable;
    }
    if (response->http_status != Poco::Net::HTTPResponse::HTTP_OK)
    {
        return print_error_response(*response, streams, options.json);
    }
    if (options.json)
    {
        streams.out << response->body << "\n";
    }
    else
    {
        print(*response->json, streams.out);
    }
    return exit_code::done;
}

// Sends a GET request for one path and prints the response.
exit_code fetch_and_print(
    const std::string& path, const command_options& options,
    command_streams streams, const print_function& print)
{
    auto session = operator_session::open(options);
    if (!session.ok())
    {
        return report_usage_error(session.status(), streams.error);
    }
    return print_response_or_error(session->get(path), options, streams, print);
}

void print_receipt(const Object& receipt, std::ostream& out)
{
    out << fmt::format(
        "ticket {} {}\n  accepted  {}\n  digest    {}\n",
        display_text(receipt, "ticket"),
        display_text(receipt, "duplicate") == "yes"
            ? "was accepted before with the same content"
            : "accepted",
        display_text(receipt, "accepted"), display_text(receipt, "digest"));
    if (receipt.has("recorded_comment"))
    {
        out << fmt::format(
            "  your comment was not recorded; the ticket keeps \"{}\"\n",
            display_text(receipt, "recorded_comment"));
    }
}

void print_tickets(const Object& list, std::ostream& out)
{
    text_table table{{"TICKET", "ACCEPTED", "DIGEST", "CHAIN"}};
    for (const Object::Ptr& entry : object_array(list, "tickets"))
    {
        table.add(
            {display_text(*entry, "ticket"), display_text(*entry, "accepted"),
             display_text(*entry, "digest").substr(0, shown_digest_digits),
             display_text(*entry, "chain").substr(0, shown_digest_digits)});
    }
    table.print(out);
    out << "next free number: " << display_text(list, "next_free_number")
        << "\n";
}

void print_ticket(const Object& record, std::ostream& out)
{
    out << fmt::format(
        "ticket {}\n  accepted  {}\n  digest    {}\n  chain     {}\n",
        display_text(record, "ticket"), display_text(record, "accepted"),
        display_text(record, "digest"), display_text(record, "chain"));
    Poco::JSON::Stringifier::stringify(
        record.get("document"), out, json_indent);
    out << "\n";
}

void print_in_force(const Object& report, std::ostream& out)
{
    const std::string since = display_text(report, "fleet_since");
    out << "version " << display_text(report, "version")
        << (since == "-" ? ", not yet on every live instance"
                         : ", on every live instance since " + since)
        << "\n\n";
    text_table instances{
        {"INSTANCE", "NAME", "ADDRESS", "FAILURE DOMAIN", "STATE", "READY",
         "VERSION", "SINCE"}};
    for (const Object::Ptr& entry : object_array(report, "instances"))
    {
        instances.add(
            {display_text(*entry, "id"), display_text(*entry, "name"),
             display_text(*entry, "address"),
             display_text(*entry, "failure_domain"),
             display_text(*entry, "state"), display_text(*entry, "ready"),
             display_text(*entry, "version"), display_text(*entry, "since")});
    }
    instances.print(out);
    out << "\n";
    text_table servers{
        {"BACKEND SERVER", "SERVICE", "STATE", "VERSION", "SINCE",
         "CHECKS FENCING"}};
    for (const Object::Ptr& entry : object_array(report, "backend_servers"))
    {
        servers.add(
            {display_text(*entry, "name"), display_text(*entry, "service"),
             display_text(*entry, "state"), display_text(*entry, "version"),
             display_text(*entry, "since"),
             display_text(*entry, "checks_fencing")});
    }
    servers.print(out);
}

void print_status(const Object& status, std::ostream& out)
{
    constexpr std::array<std::string_view, 12> keys{
        "id",        "name",          "failure_domain", "started",
        "readiness", "version",       "role",           "leader",
        "term",      "members_alive", "members_known",  "requests_in_flight"};
    for (const std::string_view key : keys)
    {
        out << fmt::format(
            "{:<20}{}\n", key, display_text(status, std::string{key}));
    }
    out << fmt::format("{:<20}{}\n", "voters", display_text(status, "voters"));
    const Array::Ptr conditions = status.getArray("conditions");
    for (std::size_t i = 0; conditions && i < conditions->size(); ++i)
    {
        out << fmt::format(
            "{:<20}{}\n", "condition",
            conditions->getElement<std::string>(static_cast<unsigned>(i)));
    }
}

void print_decisions(const Object& list, std::ostream& out)
{
    text_table table{
        {"TIME", "INSTANCE", "REQUEST", "ORGANISATION", "RANK", "VERSION",
         "CHOICE", "REASON", "OUTCOME", "QUEUED MS"}};
    for (const Object::Ptr& entry : object_array(list, "decisions"))
    {
        table.add(
            {display_text(*entry, "time"), display_text(*entry, "instance"),
             display_text(*entry, "request"),
             display_text(*entry, "organisation"), display_text(*entry, "rank"),
             display_text(*entry, "version"), display_text(*entry, "choice"),
             display_text(*entry, "reason"), display_text(*entry, "outcome"),
             display_text(*entry, "queued_ms")});
    }
    table.print(out);
    for (const Object::Ptr& gap : object_array(list, "gaps"))
    {
        const std::string last = display_text(*gap, "last_sequence");
        out << fmt::format(
            "gap: instance {} incarnation {} batches from {} {} are not in "
            "this store\n",
            display_text(*gap, "instance"), display_text(*gap, "incarnation"),
            display_text(*gap, "first_sequence"),
            last == "-" ? "until its end, if any," : "to " + last);
    }
    if (display_text(list, "truncated") == "yes")
    {
        out << "more records match; raise --limit or narrow the filter\n";
    }
}

void print_burn(const Object& report, std::ostream& out)
{
    out << "error budget " << display_text(report, "error_budget")
        << "; a burn rate of 1 uses it up exactly\n\n";
    text_table table{
        {"ORGANISATION", "RANK", "WINDOW", "GOOD", "LATE", "REFUSED", "FAILED",
         "BURN RATE"}};
    for (const Object::Ptr& row : object_array(report, "rows"))
    {
        const Object::Ptr windows = row->getObject("windows");
        for (const std::string name : {"5m", "1h", "6h"})
        {
            const Object::Ptr counts =
                windows ? windows->getObject(name) : nullptr;
            if (!counts)
            {
                continue;
            }
            table.add(
                {display_text(*row, "organisation"), display_text(*row, "rank"),
                 name, display_text(*counts, "good"),
                 display_text(*counts, "late"),
                 display_text(*counts, "refused"),
                 display_text(*counts, "failed"),
                 fmt::format("{:.2f}", counts->getValue<double>("burn_rate"))});
        }
    }
    table.print(out);
}

absl::StatusOr<std::string>
read_ticket(const std::string& path, std::istream& in)
{
    std::ifstream file;
    if (path != "-")
    {
        file.open(path, std::ios::binary);
        if (!file)
        {
            return make_error(
                error_kind::invalid_request,
                fmt::format(
                    "the ticket file {} can't be read; check the path, or "
                    "write - for standard input",
                    path));
        }
    }
    std::istream& source = path == "-" ? in : file;
    return std::string{
        std::istreambuf_iterator<char>{source},
        std::istreambuf_iterator<char>{}};
}

// Fetches one accepted ticket with its document.
absl::StatusOr<accepted_ticket>
fetch_ticket(operator_session& session, const std::string& number)
{
    const auto response = session.get("/operator/tickets/" + number);
    if (!response.ok())
    {
        return response.status();
    }
    const Object& json = *response->json;
    accepted_ticket record;
    if (response->http_status != Poco::Net::HTTPResponse::HTTP_OK ||
        !json.has("document_text"))
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format(
                "ticket {} is in the list but can't be fetched", number));
    }
    record.document.number = json.getValue<std::uint64_t>("ticket");
    record.document.text = json.getValue<std::string>("document_text");
    record.accepted = json.getValue<std::uint64_t>("accepted_unix_ms");
    const auto content = parse_digest(display_text(json, "digest"));
    const auto chain = parse_digest(display_text(json, "chain"));
    if (!content || !chain)
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format("ticket {} has no valid digest or chain hash", number));
    }
    record.document.content_digest = *content;
    record.chain = *chain;
    return record;
}

absl::Status
verify_record(const accepted_ticket& record, const digest& previous)
{
    const auto parsed = parse_ticket(record.document.text);
    if (!parsed.ok() ||
        parsed->document.content_digest != record.document.content_digest)
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format(
                "the digest of ticket {} does not match its document",
                record.document.number));
    }
    if (ticket_chain(previous, record.document, record.accepted) !=
        record.chain)
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format(
                "the hash chain does not match at ticket {}: the ticket, its "
                "time of acceptance or an earlier ticket was changed",
                record.document.number));
    }
    return absl::OkStatus();
}

// Verifies the digests and the hash chain of all listed tickets. Returns their
// number.
absl::StatusOr<std::size_t>
verify_all(operator_session& session, const Object& list)
{
    digest previous{};
    std::size_t count = 0;
    for (const Object::Ptr& entry : object_array(list, "tickets"))
    {
        const auto record =
            fetch_ticket(session, display_text(*entry, "ticket"));
        if (!record.ok())
        {
            return record.status();
        }
        if (auto status = verify_record(*record, previous); !status.ok())
        {
            return status;
        }
        previous = record->chain;
        ++count;
    }
    return count;
}

} // namespace

exit_code ticket_file(const command_options& options, command_streams streams)
{
    const auto body = read_ticket(options.words.back(), streams.in);
    if (!body.ok())
    {
        return report_usage_error(body.status(), streams.error);
    }
    auto session = operator_session::open(options);
    if (!session.ok())
    {
        return report_usage_error(session.status(), streams.error);
    }
    const exit_code code = print_response_or_error(
        session->post("/operator/tickets", *body), options, streams,
        print_receipt);
    if (code == exit_code::unreachable)
    {
        streams.error
            << "  it is unknown whether the ticket was accepted; file "
               "the same ticket again\n";
    }
    return code;
}

exit_code ticket_show(const command_options& options, command_streams streams)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(options.words.back(), &number))
    {
        return report_usage_error(
            make_error(
                error_kind::invalid_request,
                fmt::format(
                    "ticket show needs the number of a ticket; got \"{}\"",
                    options.words.back())),
            streams.error);
    }
    return fetch_and_print(
        fmt::format("/operator/tickets/{}", number), options, streams,
        print_ticket);
}

exit_code ticket_list(const command_options& options, command_streams streams)
{
    return fetch_and_print(
        "/operator/tickets", options, streams, print_tickets);
}

exit_code ticket_verify(const command_options& options, command_streams streams)
{
    auto session = operator_session::open(options);
    if (!session.ok())
    {
        return report_usage_error(session.status(), streams.error);
    }
    const auto list = session->get("/operator/tickets");
    if (!list.ok() || list->http_status != Poco::Net::HTTPResponse::HTTP_OK)
    {
        return print_response_or_error(list, options, streams, {});
    }
    const auto count = verify_all(*session, *list->json);
    if (!count.ok() && kind_of(count.status()) == error_kind::unreachable)
    {
        streams.error << "hickorygap: " << count.status().message() << "\n";
        return exit_code::unreachable;
    }
    if (options.json)
    {
        streams.out << fmt::format(
            R"({{"verified":{},"tickets":{},"message":{}}})", count.ok(),
            count.value_or(0),
            json_quote(std::string{count.status().message()}));
        streams.out << "\n";
    }
    else if (count.ok())
    {
        streams.out << fmt::format(
            "{} tickets verified: every digest and every link of the chain "
            "matches\n",
            *count);
    }
    else
    {
        streams.error << "hickorygap: " << count.status().message() << "\n";
    }
    return count.ok() ? exit_code::done : exit_code::refused;
}

exit_code show_in_force(const command_options& options, command_streams streams)
{
    return fetch_and_print(
        "/operator/in-force", options, streams, print_in_force);
}

exit_code
list_decisions(const command_options& options, command_streams streams)
{
    Poco::URI uri{"/operator/decisions"};
    for (const auto& [key, value] :
         {std::pair{"organisation", options.organisation},
          std::pair{"chat", options.chat}, std::pair{"from", options.from},
          std::pair{"to", options.to}, std::pair{"limit", options.limit}})
    {
        if (!value.empty())
        {
            uri.addQueryParameter(key, value);
        }
    }
    return fetch_and_print(
        uri.getPathAndQuery(), options, streams, print_decisions);
}

exit_code report_burn(const command_options& options, command_streams streams)
{
    return fetch_and_print("/operator/burn", options, streams, print_burn);
}

exit_code show_status(const command_options& options, command_streams streams)
{
    return fetch_and_print("/operator/status", options, streams, print_status);
}

} // namespace hickorygap
