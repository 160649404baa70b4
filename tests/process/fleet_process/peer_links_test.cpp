#include "process/fleet_process/peer_links.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

// The router's end of a link; ignores what it is sent.
class router_end final : public link_observer
{
public:
    router_end(event_loop& loop, std::uint16_t port, instance_id self)
        : link_{link_connection::dial(loop, {"127.0.0.1", port}, self, *this)}
    {
        REQUIRE(link_ != nullptr);
        wire::payloadUnion report;
        report.Set(wire::router_status_msg{});
        link_->send(report);
    }

    void on_link_ready(link_connection& /*link*/) override
    {
    }
    void on_message(
        link_connection& /*link*/, wire::envelope_msg /*message*/) override
    {
    }
    void on_link_end(link_connection& /*link*/) override
    {
    }

private:
    std::unique_ptr<link_connection> link_;
};

} // namespace

// Guards against a router that counts twice after it has connected again, while
// its old link has not ended: the leader divides budgets and paces broadcasts
// by the number of routers.
TEST_CASE("a router with an old and a new link counts once")
{
    event_loop loop;
    REQUIRE(loop.open().ok());
    std::size_t reports = 0;
    std::unique_ptr<peer_links> links;
    std::uint16_t port = 0;
    do
    {
        port = next_port();
        links = std::make_unique<peer_links>(
            loop, 1, port,
            [&](instance_id /*from*/, const wire::payloadUnion& /*payload*/,
                link_connection& link)
            {
                links->mark_router(link);
                ++reports;
            });
    } while (!links->open("127.0.0.1").ok());
    std::vector<std::unique_ptr<router_end>> ends;
    for (const instance_id router : {7, 7, 8})
    {
        ends.push_back(std::make_unique<router_end>(loop, port, router));
    }
    REQUIRE(run_until(loop, [&] { return reports == ends.size(); }));
    CHECK(links->live_routers().size() == 2);
    CHECK(links->routers() == 2);
}
