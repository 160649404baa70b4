#include "process/instance/metrics_handler.hpp"

namespace hickorygap
{

metrics_handler::metrics_handler(http_handler& next, text_source source)
    : next_(next)
    , source_(std::move(source))
{
}

void metrics_handler::handle(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    if (request.getURI() != "/metrics")
    {
        next_.handle(request, response);
        return;
    }
    const std::string text = source_();
    response.setContentType("text/plain; version=0.0.4");
    response.sendBuffer(text.data(), text.size());
}

} // namespace hickorygap
