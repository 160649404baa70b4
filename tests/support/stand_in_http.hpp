#ifndef HICKORYGAP_TESTS_SUPPORT_STAND_IN_HTTP_HPP
#define HICKORYGAP_TESTS_SUPPORT_STAND_IN_HTTP_HPP

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hickorygap::testing
{

using stand_in_function = std::function<void(
    Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

// Starts an HTTP server without TLS on the loopback interface. Port 0 selects a
// free port.
std::unique_ptr<Poco::Net::HTTPServer>
start_stand_in(std::uint16_t port, int threads, stand_in_function handle);

std::string read_all(Poco::Net::HTTPServerRequest& request);

void send_json(
    Poco::Net::HTTPServerResponse& response, const Poco::JSON::Object& object);

// Sends a response with the given status and the body {"not_run": true}.
void send_not_run(Poco::Net::HTTPServerResponse& response, int status);

} // namespace hickorygap::testing

#endif
