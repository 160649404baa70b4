#include "messages/codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hickorygap;

// Guards against a field that is lost or exchanged with another when a message
// is encoded on one instance and decoded on another.
TEST_CASE("an envelope decodes to what was encoded")
{
    rc::prop(
        "placement requests survive a round trip",
        [](std::uint64_t request, std::uint64_t chat, std::uint32_t cost,
           const std::vector<std::uint64_t>& excluded)
        {
            wire::placement_request_msg message;
            message.request = request;
            message.chat = chat;
            message.expected_cost = cost;
            message.excluded = excluded;
            wire::envelope_msg envelope;
            envelope.sender = 7;
            envelope.payload = make_payload(message);

            const auto decoded = decode(encode(envelope));

            RC_ASSERT(decoded.ok());
            const auto* result =
                message_in<wire::placement_request_msg>(decoded->payload);
            RC_ASSERT(result != nullptr);
            RC_ASSERT(decoded->sender == 7U);
            RC_ASSERT(result->request == request);
            RC_ASSERT(result->chat == chat);
            RC_ASSERT(result->expected_cost == cost);
            RC_ASSERT(result->excluded == excluded);
        });
}

// Guards against a crash, or a message with wrong content, when the received
// bytes are damaged.
TEST_CASE("damaged envelopes are refused")
{
    const std::vector<std::uint8_t> damaged{1, 2, 3, 4, 5, 6, 7, 8};
    CHECK_FALSE(decode(damaged).ok());
    CHECK_FALSE(decode({}).ok());
}
