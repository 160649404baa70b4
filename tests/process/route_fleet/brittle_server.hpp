#ifndef HICKORYGAP_TESTS_PROCESS_ROUTE_FLEET_BRITTLE_SERVER_HPP
#define HICKORYGAP_TESTS_PROCESS_ROUTE_FLEET_BRITTLE_SERVER_HPP

#include "process/route_fleet/route_fleet_fixture.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace hickorygap::test
{

// A server with eight slots and a queue, which rejects what finds no room. From
// the first request on all its responses say that it is brittle: it falls over,
// closing its port and its connections, when it has to reject more requests in
// a second than it tolerates, and is back after some seconds.
class brittle_server
{
public:
    struct traits
    {
        duration service_time{0};
        std::size_t queue_limit = 0;
        std::size_t rejections_tolerated = 0;
    };

    brittle_server(route_fleet& fleet, const traits& behaviour)
        : loop_{fleet.loop()}
        , traits_{behaviour}
        , server_{fleet.add_backend(
              [this](
                  backend_double::connection& to, const received_request& got) {
                  on_request({&to, got.head->get("Request-Id")});
              })}
    {
    }

    void set_queue_limit(std::size_t limit)
    {
        traits_.queue_limit = limit;
    }

    std::size_t falls() const
    {
        return falls_;
    }
    std::size_t completed() const
    {
        return completed_;
    }
    std::size_t rejected() const
    {
        return rejected_;
    }

private:
    static constexpr std::size_t slots = 8;
    static constexpr duration time_to_restart = std::chrono::seconds{3};

    struct request
    {
        backend_double::connection* to = nullptr;
        std::string id;
    };

    void on_request(const request& arrived)
    {
        if (running_ < slots)
        {
            run(arrived);
        }
        else if (waiting_.size() < traits_.queue_limit)
        {
            waiting_.push_back(arrived);
        }
        else
        {
            respond(arrived, "503 Service Unavailable", "Not-Run: 1\r\n");
            count_rejection();
        }
    }

    void run(const request& started)
    {
        ++running_;
        loop_.after(
            traits_.service_time,
            [this, started, life = falls_]
            {
                if (life == falls_)
                {
                    complete(started);
                }
            });
    }

    void complete(const request& ended)
    {
        --running_;
        ++completed_;
        respond(ended, "200 OK", "Reply-Seal: s\r\n");
        if (!waiting_.empty())
        {
            const request next = waiting_.front();
            waiting_.pop_front();
            run(next);
        }
    }

    void
    respond(const request& to, std::string_view status, std::string_view fields)
    {
        to.to->write(fmt::format(
            "HTTP/1.1 {}\r\nRequest-Id: {}\r\nServer-Brittle: {}\r\n{}"
            "Content-Length: 4\r\n\r\ntext",
            status, to.id, traits_.rejections_tolerated, fields));
    }

    void count_rejection()
    {
        ++rejected_;
        last_second_.push_back(loop_.now());
        while (last_second_.front() + std::chrono::seconds{1} < loop_.now())
        {
            last_second_.pop_front();
        }
        if (last_second_.size() > traits_.rejections_tolerated &&
            !server_.crashed())
        {
            fall();
        }
    }

    void fall()
    {
        ++falls_;
        running_ = 0;
        waiting_.clear();
        last_second_.clear();
        server_.crash();
        loop_.after(time_to_restart, [this] { server_.restart(); });
    }

    event_loop& loop_;
    traits traits_;
    std::size_t running_ = 0;
    std::deque<request> waiting_;

    // Times of rejections.
    std::deque<time_point> last_second_;
    std::size_t falls_ = 0;
    std::size_t completed_ = 0;
    std::size_t rejected_ = 0;
    backend_double& server_;
};

} // namespace hickorygap::test

#endif
