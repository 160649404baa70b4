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

// Response of an instance to an operator request.
struct operator_response
{
    int http_status = 0;
    std::string body;
    Poco::JSON::Object::Ptr json;

    // Address of the instance that responded.
    std::string server;
};

// HTTP client of the operator API. A request is sent to the configured servers
// in turn until one responds with a status other than 503. Repeating a request
// is safe, because filing a ticket is idempotent.
class operator_session
{
public:
    // Checks the flags and reads the token file; doesn't connect yet. The error
    // message names the missing or wrong flag.
    static absl::StatusOr<operator_session>
    open(const command_options& options);

    operator_session(operator_session&&) noexcept;
    operator_session& operator=(operator_session&&) noexcept;
    ~operator_session();

    // Returns error_kind::unreachable when no server responded, and the last
    // 503 response when no server responded otherwise.
    absl::StatusOr<operator_response> get(const std::string& path_and_query);
    absl::StatusOr<operator_response>
    post(const std::string& path, const std::string& body);

private:
    operator_session() = default;

    absl::StatusOr<operator_response> request(
        const std::string& method, const std::string& path,
        const std::string& body);
    absl::StatusOr<operator_response> request_from(
        const std::string& server, const std::string& method,
        const std::string& path, const std::string& body);
    Poco::Net::HTTPClientSession& connect(const std::string& server);

    std::vector<std::string> servers_;
    std::string token_;
    std::string ca_file_;

    // Kept open for further requests to the same server.
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    std::string session_server_;
};

} // namespace hickorygap

#endif
