#ifndef HICKORYGAP_CONNECTION_EVENT_BYTE_CHANNEL_HPP
#define HICKORYGAP_CONNECTION_EVENT_BYTE_CHANNEL_HPP

#include "common/time.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorygap
{

// How a connection ended.
enum class connection_end
{
    // The peer closed the connection after it was sent all output; all its
    // bytes have been received.
    finished,

    // Connection reset, network error, or output that could not be sent.
    reset,

    // The connection could not be established; nothing was sent.
    refused
};

// Receives the events of one connection. The observer must not destroy the
// connection directly from a callback, only through event_loop::defer.
class connection_observer
{
public:
    connection_observer() = default;
    connection_observer(const connection_observer&) = delete;
    connection_observer& operator=(const connection_observer&) = delete;
    virtual ~connection_observer() = default;

    // An outgoing connection was established.
    virtual void on_connected()
    {
    }

    // Bytes were added to input().
    virtual void on_input() = 0;

    // All output has been passed to the kernel.
    virtual void on_drained()
    {
    }

    // Called at most once, and not after close().
    virtual void on_end(connection_end end) = 0;
};

// Bytes in both directions between this process and a server, with buffers: a
// TCP connection, or one that another instance has to the server.
class byte_channel
{
public:
    byte_channel() = default;
    byte_channel(const byte_channel&) = delete;
    byte_channel& operator=(const byte_channel&) = delete;
    virtual ~byte_channel() = default;

    // Received bytes; the observer removes those that it has consumed.
    virtual std::string& input() = 0;

    // Whether bytes have arrived that were not added to input() yet.
    virtual bool has_unread_input() const = 0;

    // Sends the bytes, or buffers them until they can be sent.
    virtual void write(std::string_view bytes) = 0;

    // Pauses or resumes reading, as back-pressure on a peer that sends faster
    // than its bytes can be forwarded. While reading is paused, the end of the
    // connection is not detected.
    virtual void set_reading(bool reading) = 0;

    // Number of bytes that were not passed to the kernel yet.
    virtual std::size_t pending_output() const = 0;

    virtual bool is_open() const = 0;
    virtual bool is_connected() const = 0;

    // When input was last received; initially the time of the connection.
    virtual time_point last_input() const = 0;

    // Closes immediately; pending output is lost.
    virtual void close() = 0;
};

} // namespace hickorygap

#endif
