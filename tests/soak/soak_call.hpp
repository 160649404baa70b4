#ifndef HICKORYGAP_TESTS_SOAK_SOAK_CALL_HPP
#define HICKORYGAP_TESTS_SOAK_SOAK_CALL_HPP

#include "connection/event/stream_connection.hpp"
#include "connection/h1/response_reader.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hickorygap::test
{

// What became of one call.
struct call_end
{
    // Zero without the head of an answer.
    int status = 0;
    bool complete = false;
    std::string body;
    std::string location;
};

// One request over a connection of its own. Lives until it has ended.
class soak_call final : public connection_observer
{
public:
    using done_function = std::function<void(const call_end&)>;

    // Calls on_end once, at the latest after the limit.
    static void start(
        event_loop& loop, const numeric_address& server,
        const std::string& method, const std::string& text, duration limit,
        done_function on_end);

    void on_input() override;
    void on_end(connection_end end) override;

private:
    soak_call(event_loop& loop, const std::string& method, done_function done);
    void finish();

    event_loop& loop_;
    response_reader reader_;
    done_function done_;
    std::unique_ptr<stream_connection> connection_;
    timer_id timer_ = 0;

    // Itself, until it has ended.
    std::unique_ptr<soak_call> self_;
};

} // namespace hickorygap::test

#endif
