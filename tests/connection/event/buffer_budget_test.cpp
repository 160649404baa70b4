#include "connection/event/buffer_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t limit = 1000 * kilobyte;
constexpr std::size_t upper_limit = 1250 * kilobyte;

class connection final : public buffer_holder
{
public:
    explicit connection(buffer_budget& budget)
        : buffers{budget, *this}
    {
    }

    void on_buffers_revoked() override
    {
        ++revoked;
        bytes = 0;
    }

    buffer_budget::share buffers;
    std::size_t bytes = 0;
    int revoked = 0;
};

time_point at(duration since_start)
{
    return time_point{since_start};
}

} // namespace

// Guards against clients without end that fill the memory, and against requests
// that are ended though others cost less.
TEST_CASE("the connection ends whose end costs least")
{
    struct held
    {
        buffer_use use;
        std::size_t kilobytes;
        duration silent_for;
    };
    using enum buffer_use;
    // The last connection is the one that asks for room. The result is the
    // number of the one that ends, or -1.
    const auto [connections, ended] = GENERATE(table<std::vector<held>, int>({
        {{{receiving, 500, 0s}, {receiving, 500, 0s}}, -1},
        {{{receiving, 600, 0s}, {receiving, 500, 0s}}, 0},
        {{{receiving, 500, 0s}, {receiving, 600, 0s}}, 1},
        {{{receiving, 800, 0s}, {receiving, 300, 3s}}, 1},
        {{{receiving, 800, 0s}, {sending, 250, 3s}}, 1},
        {{{sending, 800, 0s}, {receiving, 300, 0s}}, 1},
        {{{handling, 900, 9s}, {receiving, 200, 0s}}, 1},
        {{{handling, 999, 9s}, {receiving, 60, 0s}}, -1},
        {{{handling, 1000, 0s}, {sending, 200, 0s}}, -1},
        {{{handling, 1240, 0s}, {receiving, 20, 0s}}, 1},
        {{{handling, 1000, 0s}, {handling, 300, 0s}}, 0},
    }));
    buffer_budget budget{limit};
    std::vector<std::unique_ptr<connection>> open;
    for (const held& each : connections)
    {
        open.push_back(std::make_unique<connection>(budget));
        open.back()->buffers.set(
            each.use, each.kilobytes * kilobyte, at(10s - each.silent_for),
            at(10s));
    }
    std::vector<int> revoked;
    for (std::size_t i = 0; i < open.size(); ++i)
    {
        if (open[i]->revoked > 0)
        {
            revoked.push_back(static_cast<int>(i));
        }
    }
    CHECK(
        revoked == (ended < 0 ? std::vector<int>{} : std::vector<int>{ended}));
}

TEST_CASE("a closed connection gives its share back")
{
    buffer_budget budget{limit};
    auto first = std::make_unique<connection>(budget);
    first->buffers.set(buffer_use::handling, limit, at(1s), at(1s));
    CHECK(budget.total() == limit);
    first.reset();
    CHECK(budget.total() == 0);
    connection next{budget};
    next.buffers.set(buffer_use::receiving, limit, at(1s), at(1s));
    CHECK(next.revoked == 0);
}

TEST_CASE("whatever connections hold, the upper limit is kept")
{
    CHECK(rc::check(
        [](const std::vector<std::pair<unsigned char, std::uint16_t>>& changes)
        {
            buffer_budget budget{limit};
            std::vector<std::unique_ptr<connection>> open;
            for (int i = 0; i < 8; ++i)
            {
                open.push_back(std::make_unique<connection>(budget));
            }
            duration now = 1s;
            for (const auto& [what, kilobytes] : changes)
            {
                now += 100ms;
                connection& changed = *open[what % open.size()];
                changed.bytes = kilobytes % 700 * kilobyte;
                changed.buffers.set(
                    static_cast<buffer_use>(what / 8 % buffer_use_count),
                    changed.bytes, at(now), at(now));
                std::size_t held = 0;
                for (const auto& each : open)
                {
                    held += each->bytes;
                }
                RC_ASSERT(budget.total() == held);
                RC_ASSERT(held <= upper_limit);
            }
        }));
}
