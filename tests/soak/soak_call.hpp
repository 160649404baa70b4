#ifndef HICKORYGAP_TESTS_SOAK_SOAK_CALL_HPP
#define HICKORYGAP_TESTS_SOAK_SOAK_CALL_HPP

#include "connection/event/stream_connection.hpp"
#include "connection/h1/response_reader.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hickorygap::test
{

// Outcome of one call.
struct call_result
{
    // HTTP status; 0 when no response head was received.
    int status = 0;
    bool complete = false;
    std::string body;
    std::string location;
};

// One HTTP request on its own connection. Owns itself until it has ended.
class soak_call final : public connection_observer
{
public:
    using done_function = std::function<void(const call_result&)>;

    // Calls on_end exactly once, after the timeout at the latest.
    static void start(
        event_loop& loop, const numeric_address& server,
        const std::string& method, const std::string& text, duration timeout,
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

    // Keeps this object alive until the call has ended.
    std::unique_ptr<soak_call> self_;
};

} // namespace hickorygap::test

#endif
