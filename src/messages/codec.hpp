#ifndef HICKORYGAP_MESSAGES_CODEC_HPP
#define HICKORYGAP_MESSAGES_CODEC_HPP

#include "common/error.hpp"
#include "common/ids.hpp"

#include <absl/status/statusor.h>
#include <messages_generated.h>

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace hickorygap
{

// Message that a state machine asks its caller to send to another instance.
struct outgoing_message
{
    instance_id destination = 0;
    wire::payloadUnion payload;
};

// Wraps a message of any type of the payload union.
template <typename Message>
wire::payloadUnion make_payload(Message message)
{
    wire::payloadUnion payload;
    payload.Set(std::move(message));
    return payload;
}

template <typename Message>
outgoing_message make_outgoing(instance_id destination, Message message)
{
    return {destination, make_payload(std::move(message))};
}

// Returns the message in the union, or nullptr when it holds another type.
template <typename Message>
const Message* message_in(const wire::payloadUnion& payload)
{
    if (payload.type != wire::payloadUnionTraits<Message>::enum_value)
    {
        return nullptr;
    }
    return static_cast<const Message*>(payload.value);
}

// Encodes an envelope, without the framing that the transport adds.
std::vector<std::uint8_t> encode(const wire::envelope_msg& envelope);

// Verifies and decodes an envelope. Error: invalid_request when the bytes are
// not a valid envelope.
absl::StatusOr<wire::envelope_msg> decode(std::span<const std::uint8_t> data);

// Encodes a table that is stored without an envelope, such as the data of a log
// entry. Table is the generated table type, e.g. wire::ticket_entry.
template <typename Table>
std::vector<std::uint8_t>
encode_table(const typename Table::NativeTableType& object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &object));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

// Verifies such a table and returns it without unpacking it; nullptr when the
// bytes are not a valid table of this type. It is valid as long as the bytes.
template <typename Table>
const Table* verified_table(std::span<const std::uint8_t> data)
{
    flatbuffers::Verifier verifier{data.data(), data.size()};
    return verifier.VerifyBuffer<Table>(nullptr)
               ? flatbuffers::GetRoot<Table>(data.data())
               : nullptr;
}

// Verifies and decodes such a table. Error: invalid_request when the bytes are
// not a valid table of this type.
template <typename Table>
absl::StatusOr<typename Table::NativeTableType>
decode_table(std::span<const std::uint8_t> data)
{
    const Table* table = verified_table<Table>(data);
    if (table == nullptr)
    {
        return make_error(
            error_kind::invalid_request,
            "the record is damaged or of another kind; check that all "
            "instances run the same release");
    }
    typename Table::NativeTableType object;
    table->UnPackTo(&object);
    return object;
}

} // namespace hickorygap

#endif
