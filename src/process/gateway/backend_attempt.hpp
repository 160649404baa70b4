#ifndef HICKORYGAP_PROCESS_GATEWAY_BACKEND_ATTEMPT_HPP
#define HICKORYGAP_PROCESS_GATEWAY_BACKEND_ATTEMPT_HPP

#include "common/time.hpp"
#include "connection/h1/event_splitter.hpp"
#include "process/gateway/backend_pool.hpp"
#include "request/dialect/request_dialect.hpp"
#include "request/dispatch/stream_versions.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace hickorygap
{

// One sending of a request to a backend server, with what has arrived of the
// response.
struct backend_attempt
{
    // nullptr before the request is sent and after the attempt has ended.
    backend_connection* connection = nullptr;
    backend_server_id backend = 0;
    std::string backend_name;
    software_version_id backend_version = 0;

    // See backend_record.
    std::uint32_t server_start = 0;
    time_point sent_at;

    // Last time at which the server sent a response head, a stream event, or a
    // part of a whole response.
    time_point progress_at;
    bool head_read = false;
    bool relays_events = false;
    bool awaits_rejection_end = false;

    // Nothing is read until the caller has read what was sent to it.
    bool is_paused = false;

    // The server has made no progress for the permitted time.
    bool is_stalled = false;

    // Start of an event whose end has not arrived.
    event_splitter events;

    // When the answer began.
    std::optional<time_point> answer_began;

    // The answer has gone on long enough to prove that the request does not
    // crash the server.
    bool answer_is_settled = false;
    backend_response_info response;

    // The server has said that it did not run the request.
    bool is_rejected() const
    {
        return head_read && (response.not_run || response.wrong_server);
    }
};

} // namespace hickorygap

#endif
