#ifndef HICKORYGAP_PROCESS_OPERATORS_OPERATOR_HANDLER_HPP
#define HICKORYGAP_PROCESS_OPERATORS_OPERATOR_HANDLER_HPP

#include "connection/http/http_server.hpp"
#include "process/operators/operator_client.hpp"

namespace hickorygap
{

// Serves the operator API under /operator/. Every request must carry the bearer
// token whose SHA-256 digest is operators.token_digest in the settings.
class operator_handler : public http_handler
{
public:
    // The client must outlive the handler.
    operator_handler(operator_client& client, const digest& token_digest);

    void handle(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) override;

private:
    struct json_response;

    json_response route(Poco::Net::HTTPServerRequest& request);
    json_response route_tickets(
        Poco::Net::HTTPServerRequest& request, const std::string& path);
    json_response route_reports(
        const std::string& path, const Poco::Net::HTTPServerRequest& request);
    json_response file_ticket(Poco::Net::HTTPServerRequest& request);
    json_response list_tickets();
    json_response show_ticket(std::string_view number);
    json_response list_decisions(const Poco::Net::HTTPServerRequest& request);

    operator_client& client_;
    digest token_digest_;
};

} // namespace hickorygap

#endif
