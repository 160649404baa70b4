#ifndef HICKORYGAP_CONNECTION_HTTP_CALLER_CHANNEL_HPP
#define HICKORYGAP_CONNECTION_HTTP_CALLER_CHANNEL_HPP

#include "connection/http/json_error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorygap
{

// Response channel to the caller of one request. Exactly one of refuse,
// respond and start_stream is called first; send_event and fail_stream are
// only called after start_stream.
class caller_channel
{
public:
    virtual ~caller_channel() = default;

    virtual bool disconnected() = 0;

    virtual void refuse(const refusal& reason) = 0;

    virtual void respond(
        std::uint16_t status, const std::string& content_type,
        std::string_view body) = 0;

    // Starts a stream of server-sent events.
    virtual void start_stream() = 0;

    // Sends one event without buffering. False when the caller has
    // disconnected.
    virtual bool send_event(std::string_view event) = 0;

    // Ends a started stream with an error event.
    virtual void fail_stream(const refusal& reason) = 0;
};

} // namespace hickorygap

#endif
