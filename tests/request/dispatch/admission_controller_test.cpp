#include "request/dispatch/admission_controller.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// Requests of one rank and organisation in a simulated surge.
struct request_stream
{
    std::uint32_t rank = 0;
    std::string organisation;
    double per_second = 0;

    std::size_t sent = 0;
    std::size_t served = 0;
    double pending = 0;
};

// Simulates engines as one pool with running slots and a queue that serves the
// most urgent request first. A full pool rejects requests of every rank. Loads
// become known to the admission after a delay.
class engine_pool
{
public:
    static constexpr std::size_t engines = 10;
    static constexpr std::size_t slots = 12;
    static constexpr std::size_t queue = 36;
    static constexpr duration service_time = 1s;
    static constexpr duration load_age = 300ms;
    static constexpr duration queue_timeout = 2500ms;
    static constexpr duration step = 5ms;

    void run(std::vector<request_stream>& streams, duration time, bool admits)
    {
        admission_controller admission{1};
        for (const time_point end = now_ + time; now_ < end; now_ = now_ + step)
        {
            advance();
            for (request_stream& stream : streams)
            {
                stream.pending += stream.per_second *
                                  std::chrono::duration<double>(step).count();
                for (; stream.pending >= 1; stream.pending -= 1)
                {
                    ++stream.sent;
                    const admission_query query{
                        stream.rank, stream.organisation,
                        known_load() / engines, slots};
                    if (!admits || admission.admits(query, now_))
                    {
                        offer(stream);
                    }
                }
            }
            utilisation_sum_ += static_cast<double>(running_.size());
            ++steps_;
        }
        // Requests still queued at the end are served or time out.
        for (const time_point end = now_ + queue_timeout; now_ < end;
             now_ = now_ + step)
        {
            advance();
        }
    }

    // Mean utilisation of the slots, 0 to 1.
    double utilisation() const
    {
        return utilisation_sum_ / static_cast<double>(steps_) /
               static_cast<double>(engines * slots);
    }

private:
    struct waiting_request
    {
        request_stream* stream;
        time_point since;
    };

    void offer(request_stream& stream)
    {
        if (waiting_size() < engines * queue)
        {
            waiting_[stream.rank].push_back({&stream, now_});
        }
    }

    std::size_t waiting_size() const
    {
        std::size_t size = 0;
        for (const auto& [rank, requests] : waiting_)
        {
            size += requests.size();
        }
        return size;
    }

    void advance()
    {
        while (!running_.empty() && running_.front() <= now_)
        {
            running_.pop_front();
        }
        for (auto& [rank, requests] : waiting_)
        {
            while (!requests.empty() && running_.size() < engines * slots)
            {
                const waiting_request next = requests.front();
                requests.pop_front();
                if (now_ - next.since <= queue_timeout)
                {
                    ++next.stream->served;
                    running_.push_back(now_ + service_time);
                }
            }
        }
        loads_.emplace_back(
            now_, static_cast<double>(running_.size() + waiting_size()));
        while (loads_.size() > 1 && loads_[1].first <= now_ - load_age)
        {
            loads_.pop_front();
        }
    }

    double known_load() const
    {
        return loads_.front().second;
    }

    time_point now_{1h};
    std::deque<time_point> running_;
    std::map<std::uint32_t, std::deque<waiting_request>> waiting_;
    std::deque<std::pair<time_point, double>> loads_;
    double utilisation_sum_ = 0;
    std::size_t steps_ = 0;
};

double served_share(const request_stream& stream)
{
    return static_cast<double>(stream.served) /
           static_cast<double>(stream.sent);
}

} // namespace

// Guards against low-rank requests that fill the queues of all servers, so that
// urgent requests are rejected like the others. Bounds: 95 in 100 urgent
// requests are served as without the flood, the flood gets the remaining slots,
// and few slots stay unused.
TEST_CASE("a flood of background requests leaves room for urgent ones")
{
    // The pool serves 120 requests a second.
    const std::vector<request_stream> surge{
        {0, "a", 40}, {1, "b", 40}, {2, "c", 600}};
    auto without = surge;
    engine_pool unprotected_pool;
    unprotected_pool.run(without, 12s, false);
    CHECK(served_share(without[0]) < 0.9);

    auto with = surge;
    engine_pool pool;
    pool.run(with, 12s, true);
    CHECK(served_share(with[0]) >= 0.95);
    CHECK(served_share(with[1]) >= 0.9);
    // A quarter of the 40 requests a second that are left for it.
    CHECK(with[2].served >= 12 * 40 / 4);
    CHECK(pool.utilisation() >= 0.9);
}

// Guards against a rank that is never admitted while more urgent requests alone
// exceed the capacity.
TEST_CASE("a small share of background requests is admitted in any flood")
{
    admission_controller admission{1};
    std::size_t admitted = 0;
    constexpr std::size_t requests = 1000;
    for (std::size_t i = 0; i < requests; ++i)
    {
        admitted += admission.admits({2, "c", 48, 12}, {1h + i * 10ms}) ? 1 : 0;
    }
    CHECK(admitted >= requests / 100);
    CHECK(admitted <= requests / 20);
}

// Guards against small organisations whose requests fail because one
// organisation sends many times its share, and against refusals when there is
// no overload.
TEST_CASE("a surge of one organisation is limited before the others")
{
    std::vector<request_stream> streams{{0, "large", 400}};
    for (int i = 0; i < 10; ++i)
    {
        streams.push_back({0, "small-" + std::to_string(i), 5});
    }
    engine_pool pool;
    pool.run(streams, 12s, true);
    for (std::size_t i = 1; i < streams.size(); ++i)
    {
        CAPTURE(i);
        CHECK(served_share(streams[i]) >= 0.9);
    }

    admission_controller calm{1};
    std::size_t refused = 0;
    for (int i = 0; i < 500; ++i)
    {
        // Slots are free.
        const admission_query query{2, "large", 6, 12};
        refused += calm.admits(query, {1h + i * 1ms}) ? 0 : 1;
    }
    CHECK(refused == 0);
}
