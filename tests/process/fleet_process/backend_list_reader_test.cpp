#include "connection/h1/http_endpoint.hpp"
#include "platform/replica_list.hpp"
#include "process/fleet_process/backend_list_reader.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <optional>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

// An HTTP server with a list of three pages with one backend server each.
struct list_fixture
{
    list_fixture()
        : list{
              loop,
              {},
              [this](
                  const received_request& request,
                  const http_responder& respond)
              {
                  calls.push_back(boot_now());
                  const bool first =
                      request.head->getURI().find("page") == std::string::npos;
                  const bool last =
                      request.head->getURI().find("p3") != std::string::npos;
                  const int page = first ? 1 : last ? 3 : 2;
                  http_response answer;
                  if (refusals > 0 && page == 2)
                  {
                      --refusals;
                      answer.status =
                          Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS;
                      respond(answer);
                      return;
                  }
                  answer.body = fmt::format(
                      R"({{"instances":[{{"id":"i-{0}","service":"s",
                       "address":"10.0.0.9:8{0}","zone":"z","slots":8,
                       "version":"v1","state":"ready"}}],"next":{1}}})",
                      page, last ? "null" : fmt::format("\"p{}\"", page + 1));
                  respond(answer);
              }}
    {
        REQUIRE(loop.open().ok());
        do
        {
            address.port = next_port();
        } while (!list.open(address).ok());
        reader.emplace(loop, format, address);
    }

    void read(duration pause)
    {
        reader->read(
            pause, [this](absl::StatusOr<std::vector<listed_backend>> read)
            { servers = read.ok() ? static_cast<int>(read->size()) : -1; });
    }

    event_loop loop;
    numeric_address address{"127.0.0.1", 0};
    platform::replica_list format;
    std::vector<time_point> calls;

    // Number of further calls for the second page that the server refuses.
    int refusals = 0;
    http_endpoint list;
    std::optional<backend_list_reader> reader;
    std::optional<int> servers;
};

} // namespace

// Load: hundreds of routers without a leader read a list of many pages. Guards
// against their calls using up the list server's rate limit, which the next
// leader needs.
TEST_CASE("pages are read with a pause between them")
{
    list_fixture f;
    f.read(60ms);
    REQUIRE(run_until(f.loop, [&] { return f.servers.has_value(); }));
    CHECK(f.servers == 3);
    CHECK(f.reader->pages() == 3);
    REQUIRE(f.calls.size() == 3);
    CHECK(f.calls[1] - f.calls[0] >= 55ms);
    CHECK(f.calls[2] - f.calls[1] >= 55ms);
}

// Load: a list of more pages than the server's rate limit allows at once.
// Guards against a read that starts again from the first page after each
// refusal and never ends.
TEST_CASE("a page that is refused by the rate limit is requested again")
{
    const auto [refusals, servers] =
        GENERATE(table<int, int>({{1, 3}, {4, 3}, {1000, -1}}));
    list_fixture f;
    f.refusals = refusals;
    f.read(0ms);
    REQUIRE(run_until(
        f.loop, [&] { return f.servers.has_value(); }, 8s));
    CHECK(f.servers == servers);
    if (servers == 3)
    {
        CHECK(f.reader->pages() == 3);
        CHECK(f.calls.size() == 3U + static_cast<std::size_t>(refusals));
    }
}

// A router cancels its own read when a leader sends it the list. Guards against
// a read that continues after that and replaces the newer list.
TEST_CASE("a cancelled read ends without a result")
{
    list_fixture f;
    const auto pages_before = GENERATE(0U, 1U, 2U);
    f.read(40ms);
    run_until(f.loop, [&] { return f.calls.size() >= pages_before; });
    f.reader->cancel();
    CHECK_FALSE(f.reader->is_reading());
    run_until(
        f.loop, [] { return false; }, 200ms);
    CHECK_FALSE(f.servers);
    CHECK(f.calls.size() <= pages_before + 1);
    f.read(0ms);
    REQUIRE(run_until(f.loop, [&] { return f.servers.has_value(); }));
    CHECK(f.servers == 3);
}
