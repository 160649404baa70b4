#ifndef HICKORYGAP_CONNECTION_H1_HTTP_CALL_HPP
#define HICKORYGAP_CONNECTION_H1_HTTP_CALL_HPP

#include "common/address.hpp"
#include "connection/event/stream_connection.hpp"
#include "connection/h1/response_reader.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace hickorygap
{

// One small GET call over a connection of its own.
class http_call final : public connection_observer
{
public:
    struct result
    {
        int status = 0;
        std::string body;
    };
    using done_function = std::function<void(absl::StatusOr<result>)>;

    // Calls on_done once, at the latest after the time limit, unless the
    // object is destroyed before. Errors: unreachable, deadline_exceeded,
    // invalid_request for bytes that are no response.
    http_call(
        event_loop& loop, const numeric_address& server,
        const std::string& target, duration time_limit, done_function on_done);
    ~http_call() override;

    void on_input() override;
    void on_end(connection_end end) override;

private:
    void finish(absl::StatusOr<result> outcome);
    void finish_response();

    event_loop& loop_;
    done_function on_done_;
    response_reader reader_;
    std::unique_ptr<stream_connection> connection_;
    timer_id timer_ = 0;
    bool done_ = false;
};

} // namespace hickorygap

#endif
