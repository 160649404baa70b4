#include "connection/http/raw_client.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

using namespace hickorygap::testing;

// Guards against tests of closed connections that pass when the connection
// stays open.
TEST_CASE("a connection is at its end only when the peer has closed it")
{
    const bool closes = GENERATE(true, false);
    CAPTURE(closes);
    Poco::Net::ServerSocket server{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    constexpr int timeout_us = 100'000;
    raw_client client{
        Poco::Net::StreamSocket{server.address()},
        Poco::Timespan{0, timeout_us}};
    Poco::Net::StreamSocket accepted = server.acceptConnection();
    accepted.sendBytes("rest", 4);
    if (closes)
    {
        accepted.close();
    }
    CHECK(client.at_end() == closes);
    CHECK(client.received() == "rest");
}
