#ifndef HICKORYGAP_CONNECTION_H1_HTTP_GET_HPP
#define HICKORYGAP_CONNECTION_H1_HTTP_GET_HPP

#include "common/address.hpp"
#include "connection/event/stream_connection.hpp"
#include "connection/h1/response_reader.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace hickorygap
{

// One GET request over a new connection, with a small response.
class http_get final : public connection_observer
{
public:
    struct result
    {
        int status = 0;
        std::string body;
    };
    using completion_function = std::function<void(absl::StatusOr<result>)>;

    // Calls `completion` once, at the latest after the time limit, unless the
    // object is destroyed before. Errors: unreachable, deadline_exceeded, and
    // invalid_request for an invalid HTTP response.
    http_get(
        event_loop& loop, const numeric_address& server,
        const std::string& target, duration time_limit,
        completion_function completion);
    ~http_get() override;

    void on_input() override;
    void on_end(connection_end end) override;

private:
    void finish(absl::StatusOr<result> outcome);
    void finish_if_complete();

    event_loop& loop_;
    completion_function completion_;
    response_reader reader_;
    std::unique_ptr<stream_connection> connection_;
    timer_id timer_ = 0;
    bool finished_ = false;
};

} // namespace hickorygap

#endif
