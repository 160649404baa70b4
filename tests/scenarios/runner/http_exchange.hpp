#ifndef HICKORYGAP_TESTS_SCENARIOS_RUNNER_HTTP_EXCHANGE_HPP
#define HICKORYGAP_TESTS_SCENARIOS_RUNNER_HTTP_EXCHANGE_HPP

#include <cstdint>
#include <map>
#include <string>

namespace hickorygap::testing
{

struct http_call
{
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_result
{
    // HTTP status; 0 when the connection failed, and `body` is then the reason.
    int status = 0;
    std::string body;
};

// Sends one request on a new loopback connection and reads the whole response.
// A connection that breaks within the response gives status 0.
http_result exchange(const http_call& call);

} // namespace hickorygap::testing

#endif
