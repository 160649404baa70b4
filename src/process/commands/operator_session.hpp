#ifndef HICKORYGAP_PROCESS_COMMANDS_OPERATOR_SESSION_HPP
#define HICKORYGAP_PROCESS_COMMANDS_OPERATOR_SESSION_HPP

#include "process/commands/command_line.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <vector>

namespace hickorygap
{

// Answer of an instance to an operator's request.
struct operator_answer
{
    int http_status = 0;
    std::string body;
    Poco::JSON::Object::Ptr json;

    // Address of the instance that answered.
    std::string server;
};

// Connection to the operators' interface of the fleet. Requests go to the
// servers in turn until one answers with other than 503; repeating is safe,
// because a ticket that is filed twice counts once.
class operator_session
{
public:
    // Reads the token file. The error's message names the missing or wrong
    // flag.
    static absl::StatusOr<operator_session>
    open(const command_options& options);

    operator_session(operator_session&&) noexcept;
    operator_session& operator=(operator_session&&) noexcept;
    ~operator_session();

    // error_kind::unreachable when no server answered; the last 503 answer
    // when servers answered only so.
    absl::StatusOr<operator_answer> get(const std::string& path_and_query);
    absl::StatusOr<operator_answer>
    post(const std::string& path, const std::string& body);

private:
    operator_session() = default;

    absl::StatusOr<operator_answer> request(
        const std::string& method, const std::string& path,
        const std::string& body);
    absl::StatusOr<operator_answer> request_from(
        const std::string& server, const std::string& method,
        const std::string& path, const std::string& body);
    Poco::Net::HTTPClientSession& connect(const std::string& server);

    std::vector<std::string> servers_;
    std::string token_;
    std::string ca_file_;

    // Kept between requests to one server.
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    std::string session_server_;
};

} // namespace hickorygap

#endif
