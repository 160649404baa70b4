#ifndef HICKORYGAP_CONNECTION_LINK_LINK_CONNECTION_HPP
#define HICKORYGAP_CONNECTION_LINK_LINK_CONNECTION_HPP

#include "connection/event/stream_connection.hpp"
#include "messages/codec.hpp"

#include <memory>

namespace hickorygap
{

class link_connection;

// Receives the events of one link.
class link_observer
{
public:
    link_observer() = default;
    link_observer(const link_observer&) = delete;
    link_observer& operator=(const link_observer&) = delete;
    virtual ~link_observer() = default;

    virtual void on_link_ready(link_connection& link) = 0;

    // The observer may close the link but must not destroy it in this callback.
    virtual void
    on_message(link_connection& link, wire::envelope_msg message) = 0;

    // All output has been passed to the kernel.
    virtual void on_link_drained(link_connection& /*link*/)
    {
    }

    // Called at most once, and not after close().
    virtual void on_link_end(link_connection& link) = 0;
};

// TCP connection that carries envelopes between two instances. Each envelope
// is preceded by its length in 4 bytes, little-endian.
class link_connection final : public connection_observer
{
public:
    // Starts connecting; nullptr when this fails immediately.
    static std::unique_ptr<link_connection> dial(
        event_loop& loop, const numeric_address& address, instance_id self,
        link_observer& observer);

    // Takes ownership of an accepted socket.
    static std::unique_ptr<link_connection> accepted(
        event_loop& loop, const Poco::Net::StreamSocket& socket,
        instance_id self, link_observer& observer);

    void send(const wire::payloadUnion& payload);

    // Encodes a message once, to send it over several links.
    static std::string
    encode_frame(instance_id self, const wire::payloadUnion& payload);
    void send_frame(std::string_view frame);

    // Replaces the limit of 1.5 s after which a peer that acknowledges no data
    // counts as unreachable.
    void set_acknowledgement_timeout(duration limit)
    {
        connection_->set_acknowledgement_timeout(limit);
    }

    // Pauses or resumes reading, see byte_channel.
    void set_reading(bool reading)
    {
        connection_->set_reading(reading);
    }

    // Whether bytes have arrived that were not handled yet.
    bool has_unread_input() const
    {
        return connection_->has_unread_input();
    }

    void close();
    bool is_open() const
    {
        return connection_ && connection_->is_open();
    }
    bool is_ready() const
    {
        return is_open() && connection_->is_connected();
    }
    std::size_t pending_output() const
    {
        return connection_->pending_output();
    }
    time_point last_input() const
    {
        return connection_->last_input();
    }

    // Sender id of the peer's last message, not authenticated; zero before its
    // first message.
    instance_id peer() const
    {
        return peer_;
    }

    void on_connected() override;
    void on_input() override;
    void on_drained() override;
    void on_end(connection_end end) override;

private:
    link_connection(instance_id self, link_observer& observer);

    instance_id self_;
    link_observer& observer_;
    std::unique_ptr<stream_connection> connection_;
    instance_id peer_ = 0;
};

} // namespace hickorygap

#endif
