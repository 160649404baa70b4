#include "support/stand_in_http.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <sstream>
#include <utility>

namespace hickorygap::testing
{

namespace
{

class function_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit function_handler(const stand_in_function& handle)
        : handle_(handle)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) override
    {
        handle_(request, response);
    }

private:
    const stand_in_function& handle_;
};

class function_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit function_factory(stand_in_function handle)
        : handle_(std::move(handle))
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new function_handler{handle_};
    }

private:
    stand_in_function handle_;
};

} // namespace

std::unique_ptr<Poco::Net::HTTPServer>
start_stand_in(std::uint16_t port, int threads, stand_in_function handle)
{
    Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1", port}};
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params{
        new Poco::Net::HTTPServerParams};
    params->setMaxThreads(threads);
    params->setMaxQueued(threads * 4);
    // Routers open a new connection for each request.
    params->setKeepAlive(false);
    auto server = std::make_unique<Poco::Net::HTTPServer>(
        new function_factory{std::move(handle)}, socket, params);
    server->start();
    return server;
}

std::string read_all(Poco::Net::HTTPServerRequest& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

void send_json(
    Poco::Net::HTTPServerResponse& response, const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    const std::string body = text.str();
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

void send_not_run(Poco::Net::HTTPServerResponse& response, int status)
{
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    Poco::JSON::Object body;
    body.set("not_run", true);
    send_json(response, body);
}

} // namespace hickorygap::testing
