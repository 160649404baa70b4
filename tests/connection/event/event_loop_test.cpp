#include "connection/event/event_loop.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// Counts how often its descriptor became ready.
class event_counter final : public io_handler
{
public:
    void on_ready(io_readiness /*readiness*/) override
    {
        ++count_;
    }
    int count() const
    {
        return count_;
    }

private:
    int count_ = 0;
};

} // namespace

// Failure: a function of the loop arms itself again without delay, as a timer
// whose delay comes from a configuration with a value of 0 does. Guards against
// an iteration that never ends, so that the process handles no events and no
// signals any more (review/7).
TEST_CASE("functions that are due again at once do not stop the loop")
{
    struct arming
    {
        duration delay;
        bool deferred;
        bool doubles;
    };
    const auto [delay, deferred, doubles] = GENERATE(values<arming>(
        {{0ms, false, false},
         {-5s, false, false},
         {0ms, true, false},
         {0ms, false, true}}));
    CAPTURE(delay.count(), deferred, doubles);
    event_loop loop;
    REQUIRE(loop.open().ok());
    constexpr int runaway = 100'000;
    int calls = 0;
    std::function<void()> arm;
    const auto arm_once = [&]
    {
        if (deferred)
        {
            loop.defer([&] { arm(); });
        }
        else
        {
            loop.after(delay, [&] { arm(); });
        }
    };
    arm = [&]
    {
        // Ends the run where the loop would never return.
        if (++calls < runaway)
        {
            arm_once();
            if (doubles && calls < 8)
            {
                arm_once();
            }
        }
    };
    arm();
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    event_counter reader;
    loop.add(ends[0], reader, true, false);
    REQUIRE(::write(ends[1], "x", 1) == 1);
    bool later_timer_ran = false;
    loop.after(20ms, [&] { later_timer_ran = true; });
    constexpr int iterations = 10;
    for (int i = 0; i < iterations; ++i)
    {
        loop.run_once(1ms);
    }
    CHECK(calls < runaway);
    CHECK(calls > iterations);
    CHECK(reader.count() == iterations);
    const time_point start = boot_now();
    while (!later_timer_ran && boot_now() - start < 1s)
    {
        loop.run_once(1ms);
    }
    CHECK(later_timer_ran);
    loop.remove(ends[0]);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against timers that run in another order than that of their times, or
// after they were cancelled by a timer that runs with them.
TEST_CASE("timers that are due together run in order unless they are cancelled")
{
    event_loop loop;
    REQUIRE(loop.open().ok());
    std::string order;
    timer_id cancelled = 0;
    loop.after(2ms, [&] { order += 'c'; });
    loop.after(
        1ms,
        [&]
        {
            order += 'a';
            loop.cancel(cancelled);
            loop.after(0ms, [&] { order += 'd'; });
        });
    cancelled = loop.after(1ms, [&] { order += 'x'; });
    loop.after(1ms, [&] { order += 'b'; });
    ::usleep(5000);
    loop.run_once(10ms);
    CHECK(order == "abc");
    loop.run_once(10ms);
    CHECK(order == "abcd");
}
