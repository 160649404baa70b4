#include "connection/event/listener.hpp"
#include "support/loopback.hpp"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

// Echoes its input, but throws an exception of a library for some texts.
class fragile_server final : public connection_observer
{
public:
    fragile_server(event_loop& loop, const Poco::Net::StreamSocket& socket)
        : stream_{std::make_unique<stream_connection>(loop, socket, *this)}
    {
    }

    void on_input() override
    {
        const std::string text = std::exchange(stream_->input(), {});
        if (text == "poco!")
        {
            throw Poco::NotFoundException{"Host"};
        }
        if (text == "std!")
        {
            throw std::length_error{"too long"};
        }
        stream_->write(text);
    }
    void on_end(connection_end end) override
    {
        ended = end;
    }

    std::optional<connection_end> ended;

private:
    std::unique_ptr<stream_connection> stream_;
};

} // namespace

// Guards against a process that any peer can end by bytes for which a library
// throws: the peer loses its own connection, and all others work.
TEST_CASE("an exception over the input of a connection ends that one only")
{
    const std::string input = GENERATE(as<std::string>{}, "poco!", "std!");
    event_loop loop;
    REQUIRE(loop.open().ok());
    std::vector<std::unique_ptr<fragile_server>> servers;
    listener accepting{
        loop, [&](const Poco::Net::StreamSocket& socket)
        { servers.push_back(std::make_unique<fragile_server>(loop, socket)); }};
    std::uint16_t port = 0;
    do
    {
        port = next_port();
    } while (!accepting.open({"127.0.0.1", port}).ok());
    caller_double bystander{loop, port};
    caller_double attacker{loop, port};
    REQUIRE(run_until(loop, [&] { return servers.size() == 2; }));
    attacker.send(input);
    CHECK(run_until(loop, [&] { return attacker.ended(); }));
    bystander.send("hello");
    CHECK(run_until(loop, [&] { return bystander.received() == "hello"; }));
    CHECK_FALSE(bystander.ended());
    const auto ended = std::ranges::count_if(
        servers, [](const auto& server)
        { return server->ended == connection_end::reset; });
    CHECK(ended == 1);
}

namespace
{

// Keeps what it receives.
class recorder final : public connection_observer
{
public:
    void on_input() override
    {
    }
    void on_end(connection_end end) override
    {
        ended = end;
    }

    std::optional<connection_end> ended;
};

} // namespace

// Failure: the peer sends some bytes and ends the connection while output for
// it is waiting. Guards against an end that looks orderly: the error of a reset
// is reported once only, to the write that fails, and the next read sees the
// end of the input.
TEST_CASE("a connection that ends before its output is sent was reset")
{
    struct ending
    {
        std::size_t output_bytes;
        bool resets;
        connection_end expected;
    };
    const auto [output_bytes, resets, expected] = GENERATE(values<ending>(
        {{16'000'000, true, connection_end::reset},
         {16'000'000, false, connection_end::reset},
         {0, true, connection_end::reset},
         {0, false, connection_end::finished}}));
    CAPTURE(output_bytes, resets);
    event_loop loop;
    REQUIRE(loop.open().ok());
    std::vector<Poco::Net::StreamSocket> accepted;
    listener accepting{loop, [&](const Poco::Net::StreamSocket& socket) {
                           accepted.push_back(socket);
                       }};
    std::uint16_t port = 0;
    do
    {
        port = next_port();
    } while (!accepting.open({"127.0.0.1", port}).ok());
    recorder observer;
    auto connected =
        stream_connection::connect(loop, {"127.0.0.1", port}, observer);
    REQUIRE(connected.ok());
    stream_connection& connection = **connected;
    connection.write(std::string(output_bytes, 'o'));
    REQUIRE(run_until(loop, [&] { return accepted.size() == 1; }));
    run_for(loop, std::chrono::milliseconds{50});
    Poco::Net::StreamSocket& peer = accepted[0];
    const std::string part = "part";
    peer.sendBytes(part.data(), static_cast<int>(part.size()));
    if (resets)
    {
        peer.setLinger(true, 0);
    }
    peer.close();
    REQUIRE(run_until(loop, [&] { return observer.ended.has_value(); }));
    CHECK(*observer.ended == expected);
    if (expected == connection_end::finished)
    {
        CHECK(connection.input() == part);
    }
}
