#ifndef HICKORYGAP_TESTS_SUPPORT_HANDLER_SERVER_HPP
#define HICKORYGAP_TESTS_SUPPORT_HANDLER_SERVER_HPP

#include "connection/http/http_server.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>

#include <string>

namespace hickorygap
{

// Runs one http_handler in POCO's HTTP server on a free loopback port.
class handler_server
{
public:
    explicit handler_server(http_handler& handler)
        : socket_(Poco::Net::SocketAddress{"127.0.0.1", 0})
        , server_(
              new factory{handler}, socket_, new Poco::Net::HTTPServerParams)
    {
        server_.start();
    }

    ~handler_server()
    {
        server_.stopAll(true);
    }

    handler_server(const handler_server&) = delete;
    handler_server& operator=(const handler_server&) = delete;

    std::uint16_t port() const
    {
        return socket_.address().port();
    }

    std::string address() const
    {
        return socket_.address().toString();
    }

private:
    class adapter : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit adapter(http_handler& handler)
            : handler_(handler)
        {
        }

        void handleRequest(
            Poco::Net::HTTPServerRequest& request,
            Poco::Net::HTTPServerResponse& response) override
        {
            handler_.handle(request, response);
        }

    private:
        http_handler& handler_;
    };

    class factory : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit factory(http_handler& handler)
            : handler_(handler)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(
            const Poco::Net::HTTPServerRequest& /*request*/) override
        {
            return new adapter{handler_};
        }

    private:
        http_handler& handler_;
    };

    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};

} // namespace hickorygap

#endif
