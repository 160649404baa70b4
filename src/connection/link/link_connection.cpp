#include "connection/link/link_connection.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

constexpr std::size_t length_field_bytes = 4;
constexpr std::size_t bits_per_byte = 8;
constexpr std::size_t byte_mask = 0xFF;

// A peer that acknowledges no data for this long counts as unreachable, and the
// link is dialled again. Longer than TCP needs to retransmit a burst of lost
// packets.
constexpr duration acknowledgement_timeout = std::chrono::milliseconds{1500};

// Largest envelope on a link: twice the 4 MiB of the largest configuration
// document, which leaves room for the encoding of its envelope.
constexpr std::size_t max_envelope_bytes = std::size_t{8} * 1024 * 1024;

std::size_t decode_length(std::string_view input)
{
    std::size_t length = 0;
    for (std::size_t i = length_field_bytes; i > 0; --i)
    {
        length = (length << bits_per_byte) |
                 static_cast<unsigned char>(input[i - 1]);
    }
    return length;
}

} // namespace

link_connection::link_connection(instance_id self, link_observer& observer)
    : self_{self}
    , observer_{observer}
{
}

std::unique_ptr<link_connection> link_connection::dial(
    event_loop& loop, const numeric_address& address, instance_id self,
    link_observer& observer)
{
    std::unique_ptr<link_connection> link{new link_connection{self, observer}};
    auto connection = stream_connection::connect(loop, address, *link);
    if (!connection.ok())
    {
        log(log_level::warning, subsystem::network,
            "link_not_dialled address={}:{} error=\"{}\"", address.host,
            address.port, message_of(connection.status()));
        return nullptr;
    }
    link->connection_ = *std::move(connection);
    link->connection_->set_acknowledgement_timeout(acknowledgement_timeout);
    return link;
}

std::unique_ptr<link_connection> link_connection::accepted(
    event_loop& loop, const Poco::Net::StreamSocket& socket, instance_id self,
    link_observer& observer)
{
    std::unique_ptr<link_connection> link{new link_connection{self, observer}};
    link->connection_ =
        std::make_unique<stream_connection>(loop, socket, *link);
    link->connection_->set_acknowledgement_timeout(acknowledgement_timeout);
    return link;
}

std::string link_connection::encode_frame(
    instance_id self, const wire::payloadUnion& payload)
{
    wire::envelope_msg envelope;
    envelope.sender = self;
    envelope.payload = payload;
    const std::vector<std::uint8_t> bytes = encode(envelope);
    std::string frame;
    frame.reserve(length_field_bytes + bytes.size());
    for (std::size_t i = 0; i < length_field_bytes; ++i)
    {
        frame.push_back(static_cast<char>(
            (bytes.size() >> (i * bits_per_byte)) & byte_mask));
    }
    frame.append(bytes.begin(), bytes.end());
    return frame;
}

void link_connection::send(const wire::payloadUnion& payload)
{
    send_frame(encode_frame(self_, payload));
}

void link_connection::send_frame(std::string_view frame)
{
    if (is_open())
    {
        connection_->write(frame);
    }
}

void link_connection::close()
{
    if (connection_)
    {
        connection_->close();
    }
}

void link_connection::on_connected()
{
    observer_.on_link_ready(*this);
}

void link_connection::on_input()
{
    std::string& input = connection_->input();
    std::size_t position = 0;
    while (connection_->is_open() &&
           input.size() - position >= length_field_bytes)
    {
        const std::size_t length =
            decode_length(std::string_view{input}.substr(position));
        if (length > max_envelope_bytes)
        {
            log(log_level::warning, subsystem::network,
                "link_closed peer={} reason=\"envelope of {} bytes\"", peer_,
                length);
            close();
            observer_.on_link_end(*this);
            return;
        }
        if (input.size() - position < length_field_bytes + length)
        {
            break;
        }
        const auto* data = reinterpret_cast<const std::uint8_t*>(
            input.data() + position + length_field_bytes);
        auto message = decode({data, length});
        position += length_field_bytes + length;
        if (!message.ok())
        {
            log(log_level::warning, subsystem::network,
                "link_closed peer={} reason=\"{}\"", peer_,
                message_of(message.status()));
            close();
            observer_.on_link_end(*this);
            return;
        }
        peer_ = message->sender;
        observer_.on_message(*this, *std::move(message));
    }
    input.erase(0, position);
}

void link_connection::on_drained()
{
    observer_.on_link_drained(*this);
}

void link_connection::on_end(connection_end /*end*/)
{
    observer_.on_link_end(*this);
}

} // namespace hickorygap
