#include "scenarios/runner/http_exchange.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace hickorygap::testing
{

http_result exchange(const http_call& call)
{
    constexpr int timeout_seconds = 60;
    http_result result;
    try
    {
        Poco::Net::HTTPClientSession session{"127.0.0.1", call.port};
        session.setTimeout(Poco::Timespan{timeout_seconds, 0});
        Poco::Net::HTTPRequest request{
            call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1};
        for (const auto& [name, value] : call.headers)
        {
            request.set(name, value);
        }
        request.setContentLength(
            static_cast<std::streamsize>(call.body.size()));
        session.sendRequest(request) << call.body;
        Poco::Net::HTTPResponse response;
        std::istream& stream = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, result.body);
        result.status = response.getStatus();
    }
    catch (const Poco::Exception& error)
    {
        result.status = 0;
        result.body = error.displayText();
    }
    return result;
}

} // namespace hickorygap::testing
