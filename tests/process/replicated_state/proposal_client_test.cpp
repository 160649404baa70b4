#include "process/replicated_state/proposal_client.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace hickorygap;
using status = wire::proposal_status;

namespace
{

constexpr time_point start{std::chrono::seconds{1000}};

time_point after(int millis)
{
    return start + std::chrono::milliseconds{millis};
}

// A client with one proposal that has a deadline after one second.
class client_fixture
{
public:
    client_fixture()
        : client_{{{1, 2, 3}}}
        , proposal_{client_.propose(
              wire::entry_kind::ticket, {1}, start, after(1000))}
    {
    }

    // Destination of the message sent since the last call, if any.
    std::optional<instance_id> sent()
    {
        const auto messages = client_.take_outgoing();
        REQUIRE(messages.size() <= 1);
        if (messages.empty())
        {
            return std::nullopt;
        }
        const auto* request =
            message_in<wire::propose_msg>(messages[0].payload);
        REQUIRE(request != nullptr);
        CHECK(request->proposal == proposal_);
        return messages[0].destination;
    }

    void reply(instance_id from, status answer, instance_id leader, int millis)
    {
        wire::propose_reply_msg message;
        message.proposal = proposal_;
        message.status = answer;
        message.leader = leader;
        client_.receive(from, make_payload(message), after(millis));
    }

    proposal_client& client()
    {
        return client_;
    }

private:
    proposal_client client_;
    std::uint64_t proposal_;
};

} // namespace

// Guards against a client that keeps sending to a voter that does not answer.
TEST_CASE("an unanswered proposal is sent to the next voter")
{
    client_fixture fixture;
    const auto first = fixture.sent();
    REQUIRE(first);
    fixture.client().tick(after(299));
    CHECK_FALSE(fixture.sent());
    fixture.client().tick(after(300));
    const auto second = fixture.sent();
    REQUIRE(second);
    CHECK(*second != *first);
}

// Guards against a client that ignores leader hints, and against a message loop
// when two voters name each other as leader.
TEST_CASE("a leader hint is followed at once but only once per interval")
{
    client_fixture fixture;
    const auto first = fixture.sent();
    REQUIRE(first);
    const instance_id other = *first == 1 ? 2 : 1;
    fixture.reply(*first, status::not_leader, other, 10);
    CHECK(fixture.sent() == other);
    fixture.reply(other, status::not_leader, *first, 20);
    CHECK_FALSE(fixture.sent());
    fixture.client().tick(after(70));
    CHECK(fixture.sent() == *first);
    fixture.reply(*first, status::accepted, *first, 80);
    REQUIRE(fixture.client().take_results().size() == 1);
    CHECK(fixture.client().leader() == *first);
}

// Guards against a client that sends all proposals to a leader that hangs.
TEST_CASE("a leader that does not answer is no longer assumed to lead")
{
    client_fixture fixture;
    const auto first = fixture.sent();
    REQUIRE(first);
    const instance_id hint = *first == 1 ? 2 : 1;
    fixture.reply(*first, status::not_leader, hint, 10);
    CHECK(fixture.sent() == hint);
    fixture.client().tick(after(310));
    REQUIRE(fixture.sent());
    CHECK(fixture.client().leader() == 0);
}

// Guards against a refusal that is reported as final although another copy of
// the proposal may still be accepted.
TEST_CASE("a result is final only if no copy can get another answer")
{
    const auto [copies, answer, expected_final] =
        GENERATE(table<int, std::optional<status>, bool>(
            {{1, status::accepted, true},
             {2, status::accepted, true},
             {1, status::unavailable, true},
             {2, status::unavailable, false},
             {1, status::invalid, true},
             {2, status::invalid, false},
             {2, status::conflict, true},
             {1, std::nullopt, false},
             {2, std::nullopt, false}}));
    client_fixture fixture;
    if (copies == 2)
    {
        fixture.client().tick(after(300));
    }
    if (answer)
    {
        fixture.reply(1, *answer, 1, 310);
    }
    else
    {
        fixture.client().tick(after(1000));
    }
    const auto results = fixture.client().take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].status == answer.value_or(status::no_quorum));
    CHECK(results[0].is_final == expected_final);
    CHECK((answer || !results[0].detail.empty()));
}

// Guards against an unknown outcome reported for a proposal that was never
// sent, and against a late answer to a proposal that has already ended.
TEST_CASE("an unsent proposal ends as final and a late answer is ignored")
{
    proposal_client client{{}};
    client.propose(wire::entry_kind::ticket, {1}, start, after(1000));
    client.tick(after(1000));
    const auto results = client.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].is_final);
    CHECK(results[0].status == status::no_quorum);

    client_fixture fixture;
    fixture.client().tick(after(1000));
    REQUIRE(fixture.client().take_results().size() == 1);
    fixture.reply(1, status::accepted, 1, 1010);
    CHECK(fixture.client().take_results().empty());
}
