#include "process/fleet_process/delivery_state.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;

// Reports and deliveries cross on the link. Guards against a router that is
// sent a version twice because its report is older than the delivery, and
// against one that is never sent it.
TEST_CASE("a router needs a version unless it reported it or was sent it")
{
    struct step
    {
        // Report of the router, or a change that is sent to it.
        bool report = true;
        int base = 0;
        int version = 0;
    };
    const auto [name, steps, needs, held] =
        GENERATE(table<std::string, std::vector<step>, bool, int>({
            {"nothing is known", {}, true, 0},
            {"it holds an older one", {{true, 0, 5}}, true, 5},
            {"it holds the newest", {{true, 0, 7}}, false, 7},
            {"the change is on the way",
             {{true, 0, 5}, {false, 5, 7}},
             false,
             7},
            {"it reports before the change arrives",
             {{true, 0, 5}, {false, 5, 7}, {true, 0, 5}},
             false,
             7},
            {"it reports the change",
             {{true, 0, 5}, {false, 5, 7}, {true, 0, 7}},
             false,
             7},
            {"another voter gave it a version on which the change does not "
             "follow",
             {{true, 0, 5}, {false, 5, 7}, {true, 0, 6}},
             true,
             6},
            {"the whole document follows on any version",
             {{true, 0, 0}, {false, 0, 7}, {true, 0, 6}},
             false,
             7},
            {"it has more than this voter",
             {{true, 0, 5}, {false, 5, 7}, {true, 0, 9}},
             false,
             9},
            {"it has lost what it had", {{true, 0, 7}, {true, 0, 0}}, true, 0},
        }));
    CAPTURE(name);
    delivery_state<int> state;
    for (const step& item : steps)
    {
        if (item.report)
        {
            state.on_report(item.version);
        }
        else
        {
            state.on_sent(item.base, item.version);
        }
    }
    CHECK(state.needs(7) == needs);
    CHECK(state.held() == held);
}
