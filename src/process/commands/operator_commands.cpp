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

// Hexadecimal digits of a digest that tables show.
constexpr std::size_t digest_digits = 12;

using print_function = std::function<void(const Object&, std::ostream&)>;

// The member as text for people; "-" for null.
std::string text(const Object& object, const std::string& key)
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

std::vector<Object::Ptr> objects(const Object& parent, const std::string& key)
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

exit_code usage(const absl::Status& status, std::ostream& error)
{
    error << "hickorygap: " << status.message() << "\n";
    return exit_code::usage;
}

// Prints the error of an instance.
exit_code
print_refusal(const operator_answer& answer, command_streams streams, bool json)
{
    if (json)
    {
        streams.out << answer.body << "\n";
        return exit_code::refused;
    }
    const Object::Ptr error = answer.json->getObject("error");
    if (!error)
    {
        streams.error << "hickorygap: " << answer.server << " answered with "
                      << answer.http_status << "\n";
        return exit_code::refused;
    }
    streams.error << "hickorygap: " << text(*error, "message") << "\n"
                  << "  kind              " << text(*error, "kind") << "\n";
    for (const std::string key : {"outcome", "next_free_number"})
    {
        if (error->has(key))
        {
            streams.error << fmt::format(
                "  {:<16}  {}\n", key, text(*error, key));
        }
    }
    return exit_code::refused;
}

// Prints an answer or the error in its place.
exit_code finish(
    const absl::StatusOr<operator_answer>& answer,
    const command_options& options, command_streams streams,
    const print_function& print)
{
    if (!answer.ok())
    {
        streams.error << "hickorygap: " << answer.status().message() << "\n";
        return exit_code::unreachable;
    }
    if (answer->http_status != Poco::Net::HTTPResponse::HTTP_OK)
    {
        return print_refusal(*answer, streams, options.json);
    }
    if (options.json)
    {
        streams.out << answer->body << "\n";
    }
    else
    {
        print(*answer->json, streams.out);
    }
    return exit_code::done;
}

// Fetches one path and prints the answer.
exit_code show(
    const std::string& path, const command_options& options,
    command_streams streams, const print_function& print)
{
    auto session = operator_session::open(options);
    if (!session.ok())
    {
        return usage(session.status(), streams.error);
    }
    return finish(session->get(path), options, streams, print);
}

void print_receipt(const Object& receipt, std::ostream& out)
{
    out << fmt::format(
        "ticket {} {}\n  accepted  {}\n  digest    {}\n",
        text(receipt, "ticket"),
        text(receipt, "duplicate") == "yes"
            ? "was accepted before with the same content"
            : "accepted",
        text(receipt, "accepted"), text(receipt, "digest"));
    if (receipt.has("recorded_comment"))
    {
        out << fmt::format(
            "  your comment was not recorded; the ticket keeps \"{}\"\n",
            text(receipt, "recorded_comment"));
    }
}

void print_tickets(const Object& list, std::ostream& out)
{
    text_table table{{"TICKET", "ACCEPTED", "DIGEST", "CHAIN"}};
    for (const Object::Ptr& entry : objects(list, "tickets"))
    {
        table.add(
            {text(*entry, "ticket"), text(*entry, "accepted"),
             text(*entry, "digest").substr(0, digest_digits),
             text(*entry, "chain").substr(0, digest_digits)});
    }
    table.print(out);
    out << "next free number: " << text(list, "next_free_number") << "\n";
}

void print_ticket(const Object& record, std::ostream& out)
{
    out << fmt::format(
        "ticket {}\n  accepted  {}\n  digest    {}\n  chain     {}\n",
        text(record, "ticket"), text(record, "accepted"),
        text(record, "digest"), text(record, "chain"));
    Poco::JSON::Stringifier::stringify(
        record.get("document"), out, json_indent);
    out << "\n";
}

void print_in_force(const Object& report, std::ostream& out)
{
    const std::string since = text(report, "fleet_since");
    out << "version " << text(report, "version")
        << (since == "-" ? ", not yet on every live instance"
                         : ", on every live instance since " + since)
        << "\n\n";
    text_table instances{
        {"INSTANCE", "NAME", "ADDRESS", "FAILURE DOMAIN", "STATE", "READY",
         "VERSION", "SINCE"}};
    for (const Object::Ptr& entry : objects(report, "instances"))
    {
        instances.add(
            {text(*entry, "id"), text(*entry, "name"), text(*entry, "address"),
             text(*entry, "failure_domain"), text(*entry, "state"),
             text(*entry, "ready"), text(*entry, "version"),
             text(*entry, "since")});
    }
    instances.print(out);
    out << "\n";
    text_table servers{
        {"BACKEND SERVER", "SERVICE", "STATE", "VERSION", "SINCE",
         "CHECKS FENCING"}};
    for (const Object::Ptr& entry : objects(report, "backend_servers"))
    {
        servers.add(
            {text(*entry, "name"), text(*entry, "service"),
             text(*entry, "state"), text(*entry, "version"),
             text(*entry, "since"), text(*entry, "checks_fencing")});
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
        out << fmt::format("{:<20}{}\n", key, text(status, std::string{key}));
    }
    out << fmt::format("{:<20}{}\n", "voters", text(status, "voters"));
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
    for (const Object::Ptr& entry : objects(list, "decisions"))
    {
        table.add(
            {text(*entry, "time"), text(*entry, "instance"),
             text(*entry, "request"), text(*entry, "organisation"),
             text(*entry, "rank"), text(*entry, "version"),
             text(*entry, "choice"), text(*entry, "reason"),
             text(*entry, "outcome"), text(*entry, "queued_ms")});
    }
    table.print(out);
    for (const Object::Ptr& gap : objects(list, "gaps"))
    {
        const std::string last = text(*gap, "last_sequence");
        out << fmt::format(
            "gap: instance {} incarnation {} batches from {} {} are not in "
            "this store\n",
            text(*gap, "instance"), text(*gap, "incarnation"),
            text(*gap, "first_sequence"),
            last == "-" ? "until its end, if any," : "to " + last);
    }
    if (text(list, "truncated") == "yes")
    {
        out << "more records match; raise --limit or narrow the filter\n";
    }
}

void print_burn(const Object& report, std::ostream& out)
{
    out << "error budget " << text(report, "error_budget")
        << "; a burn rate of 1 uses it up exactly\n\n";
    text_table table{
        {"ORGANISATION", "RANK", "WINDOW", "GOOD", "LATE", "REFUSED", "FAILED",
         "BURN RATE"}};
    for (const Object::Ptr& row : objects(report, "rows"))
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
                {text(*row, "organisation"), text(*row, "rank"), name,
                 text(*counts, "good"), text(*counts, "late"),
                 text(*counts, "refused"), text(*counts, "failed"),
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

// Reads one accepted ticket with its document.
absl::StatusOr<accepted_ticket>
fetch_ticket(operator_session& session, const std::string& number)
{
    const auto answer = session.get("/operator/tickets/" + number);
    if (!answer.ok())
    {
        return answer.status();
    }
    const Object& json = *answer->json;
    accepted_ticket record;
    if (answer->http_status != Poco::Net::HTTPResponse::HTTP_OK ||
        !json.has("document_text"))
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format("ticket {} is listed but can't be read", number));
    }
    record.document.number = json.getValue<std::uint64_t>("ticket");
    record.document.text = json.getValue<std::string>("document_text");
    record.accepted = json.getValue<std::uint64_t>("accepted_unix_ms");
    const auto content = parse_digest(text(json, "digest"));
    const auto chain = parse_digest(text(json, "chain"));
    if (!content || !chain)
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format("ticket {} has no valid digest or chain", number));
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
                "the chain breaks at ticket {}: it, its time of acceptance or "
                "a ticket before it was changed",
                record.document.number));
    }
    return absl::OkStatus();
}

// Verifies all listed tickets and returns how many there are.
absl::StatusOr<std::size_t>
verify_all(operator_session& session, const Object& list)
{
    digest previous{};
    std::size_t count = 0;
    for (const Object::Ptr& entry : objects(list, "tickets"))
    {
        const auto record = fetch_ticket(session, text(*entry, "ticket"));
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
        return usage(body.status(), streams.error);
    }
    auto session = operator_session::open(options);
    if (!session.ok())
    {
        return usage(session.status(), streams.error);
    }
    const exit_code code = finish(
        session->post("/operator/tickets", *body), options, streams,
        print_receipt);
    if (code == exit_code::unreachable)
    {
        streams.error << "  whether the ticket was accepted is not known; file "
                         "the same ticket again\n";
    }
    return code;
}

exit_code ticket_show(const command_options& options, command_streams streams)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(options.words.back(), &number))
    {
        return usage(
            make_error(
                error_kind::invalid_request,
                fmt::format(
                    "ticket show needs the number of a ticket; it got \"{}\"",
                    options.words.back())),
            streams.error);
    }
    return show(
        fmt::format("/operator/tickets/{}", number), options, streams,
        print_ticket);
}

exit_code ticket_list(const command_options& options, command_streams streams)
{
    return show("/operator/tickets", options, streams, print_tickets);
}

exit_code ticket_verify(const command_options& options, command_streams streams)
{
    auto session = operator_session::open(options);
    if (!session.ok())
    {
        return usage(session.status(), streams.error);
    }
    const auto list = session->get("/operator/tickets");
    if (!list.ok() || list->http_status != Poco::Net::HTTPResponse::HTTP_OK)
    {
        return finish(list, options, streams, {});
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
    return show("/operator/in-force", options, streams, print_in_force);
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
    return show(uri.getPathAndQuery(), options, streams, print_decisions);
}

exit_code report_burn(const command_options& options, command_streams streams)
{
    return show("/operator/burn", options, streams, print_burn);
}

exit_code show_status(const command_options& options, command_streams streams)
{
    return show("/operator/status", options, streams, print_status);
}

} // namespace hickorygap
