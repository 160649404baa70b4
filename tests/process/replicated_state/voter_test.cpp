#include "process/replicated_state/proposal_client.hpp"
#include "process/replicated_state/voter.hpp"
#include "support/memory_log_storage.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;

namespace
{

// Accepts every document; its digest is that of the bytes.
class accepting_validator final : public ticket_validator
{
public:
    absl::StatusOr<digest> validate(
        std::span<const std::uint8_t> document,
        std::span<const ticket_record> accepted) const override
    {
        static_cast<void>(accepted);
        return sha256(document);
    }
};

std::vector<std::uint8_t>
ticket_data(std::uint64_t number, std::uint8_t content)
{
    wire::ticket_entry_msg entry;
    entry.number = number;
    entry.document = {content};
    return encode_table<wire::ticket_entry>(entry);
}

} // namespace

// Guards against a voter that can't serve a group of one: it must elect
// itself, commit on its own disk and answer.
TEST_CASE("a single voter accepts a ticket and answers")
{
    voter_options options;
    options.raft.self = 1;
    options.raft.initial_voters = {1};
    const auto disk = std::make_shared<test::memory_disk>();
    time_point now{std::chrono::seconds{100}};
    auto opened = voter::open(
        options, std::make_unique<test::memory_log_storage>(disk),
        std::make_shared<accepting_validator>(), now);
    REQUIRE(opened.ok());
    voter& subject = **opened;
    proposal_client client{{{1}}};
    client.propose(
        wire::entry_kind::ticket, ticket_data(1, 42), now,
        now + std::chrono::seconds{10});
    std::vector<proposal_result> results;
    for (int step = 0; step < 400 && results.empty(); ++step)
    {
        now = now + std::chrono::milliseconds{20};
        subject.tick(now, 1000);
        client.tick(now);
        for (const outgoing_message& message : client.take_outgoing())
        {
            subject.receive(7, message.payload, now, 1000);
        }
        REQUIRE(subject.flush().ok());
        for (const outgoing_message& message : subject.take_outgoing())
        {
            client.receive(1, message.payload, now);
        }
        results = client.take_results();
    }
    REQUIRE(results.size() == 1);
    CHECK(results[0].status == wire::proposal_status::accepted);
    CHECK(results[0].version == 1);
    CHECK(subject.take_applied().size() == 1);
    CHECK(subject.holds_lease(now));
    CHECK(verify_chain(subject.tickets()).ok());
}
