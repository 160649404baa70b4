#ifndef HICKORYGAP_PROCESS_INSTANCE_METRICS_HANDLER_HPP
#define HICKORYGAP_PROCESS_INSTANCE_METRICS_HANDLER_HPP

#include "connection/http/http_server.hpp"

#include <functional>
#include <string>

namespace hickorygap
{

// Serves /metrics and passes every other request on to the next handler.
class metrics_handler final : public http_handler
{
public:
    using text_source = std::function<std::string()>;

    metrics_handler(http_handler& next, text_source source);

    void handle(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) override;

private:
    http_handler& next_;
    text_source source_;
};

} // namespace hickorygap

#endif
