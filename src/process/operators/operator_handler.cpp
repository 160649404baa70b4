#include "process/operators/operator_handler.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"
#include "process/operators/operator_json.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <istream>

namespace hickorygap
{

// HTTP status and JSON body of a response.
struct operator_handler::json_response
{
    int status = Poco::Net::HTTPResponse::HTTP_OK;
    std::string body;

    // Value of the Allow header when the path doesn't support the method.
    std::string allow{};
};

namespace
{

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;

constexpr std::string_view tickets_path = "/operator/tickets";
constexpr std::size_t max_decisions = 10'000;

// Whether the request carries the bearer token. The comparison takes constant
// time, so that its duration reveals nothing about the digest.
bool is_authorized(const HTTPServerRequest& request, const digest& expected)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = request.get("Authorization", "");
    if (!header.starts_with(scheme))
    {
        return false;
    }
    const digest given = sha256(std::string_view{header}.substr(scheme.size()));
    unsigned difference = 0;
    for (std::size_t i = 0; i < given.size(); ++i)
    {
        difference |= static_cast<unsigned>(given.at(i) ^ expected.at(i));
    }
    return difference == 0;
}

// Reads a body of at most max_ticket_bytes bytes. A larger body is read and
// discarded up to discard_limit_bytes, because a client that is still sending
// when the connection closes sees an I/O error instead of the response.
absl::StatusOr<std::string> read_body(HTTPServerRequest& request)
{
    constexpr std::size_t chunk_bytes = 16384;
    constexpr std::size_t discard_limit_bytes = 8 * max_ticket_bytes;
    std::string body;
    std::size_t received = 0;
    std::array<char, chunk_bytes> buffer{};
    std::istream& stream = request.stream();
    while (stream.good() && received <= discard_limit_bytes)
    {
        stream.read(buffer.data(), buffer.size());
        const auto count = static_cast<std::size_t>(stream.gcount());
        received += count;
        if (received <= max_ticket_bytes)
        {
            body.append(buffer.data(), count);
        }
    }
    if (received > max_ticket_bytes)
    {
        return make_error(
            error_kind::payload_too_large,
            fmt::format(
                "the ticket is larger than {} bytes; split it into several "
                "tickets",
                max_ticket_bytes));
    }
    if (request.hasContentLength() &&
        static_cast<Poco::Int64>(received) < request.getContentLength64())
    {
        return make_error(
            error_kind::request_timeout,
            "the ticket arrived incomplete and was not filed; send it again");
    }
    return body;
}

// Parses a numeric query parameter.
absl::Status read_number(
    const std::string& key, const std::string& text, std::uint64_t& output)
{
    if (!absl::SimpleAtoi(text, &output))
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "the parameter {} must be a whole number; it is \"{}\"", key,
                text));
    }
    return absl::OkStatus();
}

absl::StatusOr<decision_query>
read_decision_query(const Poco::URI::QueryParameters& parameters)
{
    decision_query query;
    std::string chat;
    std::uint64_t limit = query.limit;
    absl::Status status;
    for (const auto& [key, value] : parameters)
    {
        if (key == "organisation")
        {
            query.organisation = hash_name(value);
        }
        else if (key == "chat")
        {
            chat = value;
        }
        else if (key == "from")
        {
            status.Update(read_number(key, value, query.from));
        }
        else if (key == "to")
        {
            status.Update(read_number(key, value, query.to));
        }
        else if (key == "limit")
        {
            status.Update(read_number(key, value, limit));
        }
        else
        {
            status.Update(make_error(
                error_kind::invalid_request,
                fmt::format(
                    "the parameter {} is not known; use organisation, chat, "
                    "from, to (Unix time in ms) or limit",
                    key)));
        }
    }
    if (!chat.empty() && query.organisation == 0)
    {
        status.Update(make_error(
            error_kind::invalid_request,
            "chat needs the parameter organisation, because chats of "
            "different organisations may share a name"));
    }
    if (!status.ok())
    {
        return status;
    }
    if (!chat.empty())
    {
        query.chat = hash_chat(query.organisation, chat);
    }
    query.limit = std::min<std::size_t>(limit, max_decisions);
    return query;
}

} // namespace

operator_handler::operator_handler(
    operator_client& client, const digest& token_digest)
    : client_(client)
    , token_digest_(token_digest)
{
}

void operator_handler::handle(
    HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    const json_response result = route(request);
    response.setStatusAndReason(
        static_cast<HTTPResponse::HTTPStatus>(result.status));
    if (result.status == HTTPResponse::HTTP_UNAUTHORIZED)
    {
        response.set("WWW-Authenticate", "Bearer");
    }
    if (!result.allow.empty())
    {
        response.set("Allow", result.allow);
    }
    // An unread rest of the body would be parsed as the next request.
    if (result.status >= HTTPResponse::HTTP_BAD_REQUEST)
    {
        response.setKeepAlive(false);
    }
    response.setContentType("application/json");
    response.sendBuffer(result.body.data(), result.body.size());
}

operator_handler::json_response
operator_handler::route(HTTPServerRequest& request)
{
    const auto refuse = [](const absl::Status& status) {
        return json_response{http_status_of(status), error_json(status, false)};
    };
    if (!is_authorized(request, token_digest_))
    {
        return refuse(make_error(
            error_kind::unauthorized,
            "the bearer token is missing or wrong; send the token whose "
            "SHA-256 is operators.token_digest"));
    }
    std::string path;
    try
    {
        path = Poco::URI{request.getURI()}.getPath();
    }
    catch (const Poco::SyntaxException&)
    {
        return refuse(make_error(
            error_kind::invalid_request, "the request target is no valid URI"));
    }
    if (path == tickets_path ||
        path.starts_with(std::string{tickets_path} + "/"))
    {
        return route_tickets(request, path);
    }
    return route_reports(path, request);
}

namespace
{

// HTTP status and body of a report, or of the error if it failed.
template <typename Value, typename Write>
auto report_response(const absl::StatusOr<Value>& value, Write write)
{
    using pair = std::pair<int, std::string>;
    return value.ok() ? pair{HTTPResponse::HTTP_OK, write(*value)}
                      : pair{
                            http_status_of(value.status()),
                            error_json(value.status(), false)};
}

std::string invalid_request_json(std::string_view message)
{
    return error_json(make_error(error_kind::invalid_request, message), false);
}

} // namespace

operator_handler::json_response operator_handler::route_tickets(
    HTTPServerRequest& request, const std::string& path)
{
    const std::string_view rest =
        std::string_view{path}.substr(tickets_path.size());
    const std::string& method = request.getMethod();
    const bool is_list = rest.empty() || rest == "/";
    if (is_list && method == "POST")
    {
        return file_ticket(request);
    }
    if (method != "GET")
    {
        return {
            HTTPResponse::HTTP_METHOD_NOT_ALLOWED,
            invalid_request_json(
                "accepted tickets can only be read; file a change "
                "with POST /operator/tickets"),
            is_list ? "GET, POST" : "GET"};
    }
    if (is_list)
    {
        return list_tickets();
    }
    return show_ticket(rest.substr(1));
}

operator_handler::json_response operator_handler::route_reports(
    const std::string& path, const HTTPServerRequest& request)
{
    constexpr std::array<std::string_view, 4> paths{
        "/operator/in-force", "/operator/status", "/operator/decisions",
        "/operator/burn"};
    if (std::find(paths.begin(), paths.end(), path) == paths.end())
    {
        return {
            HTTPResponse::HTTP_NOT_FOUND,
            invalid_request_json("no such path; use /operator/tickets, "
                                 "/operator/in-force, /operator/status, "
                                 "/operator/decisions or /operator/burn")};
    }
    if (request.getMethod() != "GET")
    {
        return {
            HTTPResponse::HTTP_METHOD_NOT_ALLOWED,
            invalid_request_json("reports can only be read; use GET"), "GET"};
    }
    if (path == paths[2])
    {
        return list_decisions(request);
    }
    const auto write = [](const auto& value) { return to_json(value); };
    const auto [status, body] =
        path == paths[0]   ? report_response(client_.in_force(), write)
        : path == paths[1] ? report_response(client_.status(), write)
                           : report_response(client_.burn(), burn_report_json);
    return {status, body};
}

operator_handler::json_response
operator_handler::file_ticket(HTTPServerRequest& request)
{
    const auto body = read_body(request);
    if (!body.ok())
    {
        return {http_status_of(body.status()), error_json(body.status(), true)};
    }
    const auto receipt = client_.file_ticket(*body);
    if (!receipt.ok())
    {
        const absl::Status& status = receipt.status();
        log(log_level::warning, subsystem::configuration,
            "ticket refused kind={} message=\"{}\"",
            error_kind_name(kind_of(status)), std::string{status.message()});
        return {http_status_of(status), error_json(status, true)};
    }
    log(log_level::info, subsystem::configuration,
        "ticket accepted number={} duplicate={} comment_ignored={} digest={}",
        receipt->number, receipt->duplicate,
        receipt->recorded_comment.has_value(), to_hex(receipt->content_digest));
    return {HTTPResponse::HTTP_OK, to_json(*receipt)};
}

operator_handler::json_response operator_handler::list_tickets()
{
    const auto [status, body] = report_response(
        client_.tickets(), [](const std::vector<accepted_ticket>& tickets)
        { return to_json(std::span{tickets}); });
    return {status, body};
}

operator_handler::json_response
operator_handler::show_ticket(std::string_view number)
{
    configuration_version parsed = 0;
    if (!absl::SimpleAtoi(std::string{number}, &parsed))
    {
        return {
            HTTPResponse::HTTP_NOT_FOUND,
            invalid_request_json(
                "the path must end with the number of a ticket")};
    }
    const auto record = client_.ticket(parsed);
    if (record.ok() && !*record)
    {
        return {
            HTTPResponse::HTTP_NOT_FOUND,
            invalid_request_json(fmt::format(
                "no ticket was accepted as number {}; see GET {}", parsed,
                tickets_path))};
    }
    const auto [status, body] = report_response(
        record, [](const std::optional<accepted_ticket>& found)
        { return to_json(*found); });
    return {status, body};
}

operator_handler::json_response
operator_handler::list_decisions(const HTTPServerRequest& request)
{
    const auto query =
        read_decision_query(Poco::URI{request.getURI()}.getQueryParameters());
    if (!query.ok())
    {
        return {
            http_status_of(query.status()), error_json(query.status(), false)};
    }
    const auto [status, body] = report_response(
        client_.decisions(*query),
        [](const decision_list& list) { return to_json(list); });
    return {status, body};
}

} // namespace hickorygap
