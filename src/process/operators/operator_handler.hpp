#ifndef HICKORYGAP_CONNECTION_HTTP_OPERATOR_HANDLER_HPP
#define HICKORYGAP_CONNECTION_HTTP_OPERATOR_HANDLER_HPP

#include "connection/http/http_server.hpp"
#include "process/operators/operator_client.hpp"

namespace hickorygap
{

// Serves the operators' interface, /operator/... Every request needs the
// bearer token whose SHA-256 the settings hold.
class operator_handler : public http_handler
{
public:
    // The client must outlive the handler.
    operator_handler(operator_client& client, const digest& token_digest);

    void handle(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) override;

private:
    struct answer;

    answer route(Poco::Net::HTTPServerRequest& request);
    answer route_tickets(
        Poco::Net::HTTPServerRequest& request, const std::string& path);
    answer route_reports(
        const std::string& path, const Poco::Net::HTTPServerRequest& request);
    answer file_ticket(Poco::Net::HTTPServerRequest& request);
    answer list_tickets();
    answer show_ticket(std::string_view number);
    answer list_decisions(const Poco::Net::HTTPServerRequest& request);

    operator_client& client_;
    digest token_digest_;
};

} // namespace hickorygap

#endif
