#include "messages/codec.hpp"

namespace hickorygap
{

std::vector<std::uint8_t> encode(const wire::envelope_msg& envelope)
{
    return encode_table<wire::envelope>(envelope);
}

absl::StatusOr<wire::envelope_msg> decode(std::span<const std::uint8_t> data)
{
    return decode_table<wire::envelope>(data);
}

} // namespace hickorygap
