#include "process/commands/operator_session.hpp"

#include "common/address.hpp"
#include "common/error.hpp"
#include "common/json.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// A reachable instance responds within a few seconds; the response timeout is
// longer because filing a ticket waits for a quorum of voters.
constexpr long connect_timeout_s = 3;
constexpr long response_timeout_s = 15;

absl::StatusOr<std::string> read_token(const std::string& path)
{
    std::ifstream file{path};
    std::string token;
    if (path.empty() || !std::getline(file, token) || token.empty())
    {
        return make_error(
            error_kind::invalid_request,
            path.empty() ? "--token-file is missing; name the file with the "
                           "operators' token"
                         : fmt::format(
                               "the token file {} can't be read or is empty; "
                               "put the operators' token on its first line",
                               path));
    }
    // A trailing CR of a CRLF line end and blanks are not part of the token.
    token.erase(token.find_last_not_of(" \r\t") + 1);
    return token;
}

} // namespace

operator_session::operator_session(operator_session&&) noexcept = default;
operator_session&
operator_session::operator=(operator_session&&) noexcept = default;
operator_session::~operator_session() = default;

absl::StatusOr<operator_session>
operator_session::open(const command_options& options)
{
    if (options.servers.empty())
    {
        return make_error(
            error_kind::invalid_request,
            "--server is missing; name the operators' address of an instance, "
            "such as --server 127.0.0.1:8081");
    }
    for (const std::string& server : options.servers)
    {
        if (const auto address = parse_address(server); !address.ok())
        {
            return make_error(
                error_kind::invalid_request,
                fmt::format(
                    "--server {}", std::string{address.status().message()}));
        }
    }
    auto token = read_token(options.token_file);
    if (!token.ok())
    {
        return token.status();
    }
    operator_session result;
    result.servers_ = options.servers;
    result.token_ = *std::move(token);
    result.ca_file_ = options.ca_file;
    return result;
}

absl::StatusOr<operator_response>
operator_session::get(const std::string& path_and_query)
{
    return request(HTTPRequest::HTTP_GET, path_and_query, "");
}

absl::StatusOr<operator_response>
operator_session::post(const std::string& path, const std::string& body)
{
    return request(HTTPRequest::HTTP_POST, path, body);
}

absl::StatusOr<operator_response> operator_session::request(
    const std::string& method, const std::string& path, const std::string& body)
{
    absl::StatusOr<operator_response> refused = absl::UnknownError("");
    std::vector<std::string> failures;
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        auto answer = request_from(servers_[i], method, path, body);
        if (answer.ok() &&
            answer->http_status != HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
        {
            // Later requests start with the server that responded.
            std::rotate(
                servers_.begin(),
                servers_.begin() + static_cast<std::ptrdiff_t>(i),
                servers_.end());
            return answer;
        }
        if (answer.ok())
        {
            refused = std::move(answer);
        }
        else
        {
            failures.emplace_back(answer.status().message());
        }
    }
    if (refused.ok())
    {
        return refused;
    }
    return make_error(
        error_kind::unreachable,
        fmt::format(
            "no instance answered ({}); check --server and --ca-file, or name "
            "more instances",
            fmt::join(failures, "; ")));
}

absl::StatusOr<operator_response> operator_session::request_from(
    const std::string& server, const std::string& method,
    const std::string& path, const std::string& body)
{
    try
    {
        HTTPClientSession& session = connect(server);
        HTTPRequest message{method, path, HTTPRequest::HTTP_1_1};
        message.set("Authorization", "Bearer " + token_);
        message.setKeepAlive(true);
        if (method == HTTPRequest::HTTP_POST)
        {
            message.setContentType("application/json");
            message.setContentLength64(static_cast<Poco::Int64>(body.size()));
        }
        std::ostream& out = session.sendRequest(message);
        out << body;
        HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        operator_response answer;
        answer.http_status = response.getStatus();
        answer.server = server;
        Poco::StreamCopier::copyToString(in, answer.body);
        auto json = parse_json_object(answer.body, error_kind::internal);
        if (!json.ok())
        {
            session_.reset();
            return make_error(
                error_kind::unreachable,
                fmt::format(
                    "{}: the response is not a JSON object; check that this is "
                    "the operators' port of an instance",
                    server));
        }
        answer.json = *std::move(json);
        return answer;
    }
    catch (const Poco::Exception& error)
    {
        session_.reset();
        return make_error(
            error_kind::unreachable,
            fmt::format("{}: {}", server, error.displayText()));
    }
}

HTTPClientSession& operator_session::connect(const std::string& server)
{
    if (session_ != nullptr && session_server_ == server)
    {
        return *session_;
    }
    const auto address = parse_address(server);
    if (ca_file_.empty())
    {
        session_ =
            std::make_unique<HTTPClientSession>(address->host, address->port);
    }
    else
    {
        const Poco::Net::Context::Ptr context = new Poco::Net::Context{
            Poco::Net::Context::TLS_CLIENT_USE, ca_file_};
        session_ = std::make_unique<Poco::Net::HTTPSClientSession>(
            address->host, address->port, context);
    }
    session_->setKeepAlive(true);
    session_->setTimeout(
        Poco::Timespan{connect_timeout_s, 0},
        Poco::Timespan{response_timeout_s, 0},
        Poco::Timespan{response_timeout_s, 0});
    session_server_ = server;
    return *session_;
}

} // namespace hickorygap
