#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_PROPOSAL_CLIENT_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_PROPOSAL_CLIENT_HPP

#include "common/time.hpp"
#include "messages/codec.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickorygap
{

struct proposal_client_options
{
    // Initial list of voters, from the settings; see set_voters.
    std::vector<instance_id> voters;

    // An unanswered proposal is sent again to the next voter after this time.
    // A leader answers within two round trips and two disk syncs.
    duration resend_interval = std::chrono::milliseconds{300};

    // Delay before the next voter is asked when one knew no leader.
    duration no_leader_retry_delay = std::chrono::milliseconds{50};

    // Must differ between starts of a process, so that a late answer to an
    // earlier process is not matched to a proposal of the current one; use
    // random_seed().
    std::uint64_t seed = 0;
};

// Result of a proposal or read.
struct proposal_result
{
    std::uint64_t proposal = 0;

    // The leader's answer, or no_quorum when none arrived by the deadline.
    wire::proposal_status status = wire::proposal_status::no_quorum;

    // False: the proposal may have been accepted, or may be accepted later.
    // True: the status is final. With no_quorum, no copy of the proposal was
    // ever sent; with a refusal, no copy can still be accepted.
    bool is_final = false;

    configuration_version version = 0;
    unix_millis accepted = 0;
    std::string detail;
    std::vector<std::uint8_t> recorded;
};

// Sends proposals and reads to the leader; runs on every instance. It asks the
// voters in round-robin order, follows their leader hints, and resends a
// proposal until its deadline. Proposals are idempotent by their content.
class proposal_client
{
public:
    explicit proposal_client(proposal_client_options options);

    // Returns the number under which take_results reports the result.
    std::uint64_t propose(
        wire::entry_kind kind, std::vector<std::uint8_t> data, time_point now,
        time_point deadline);

    // Reads the number of the last accepted ticket, confirmed by a quorum.
    // Returns the number under which take_results reports the result.
    std::uint64_t read(time_point now, time_point deadline);

    // Handles propose_reply and read_reply messages; ignores all others.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);
    void tick(time_point now);

    std::vector<outgoing_message> take_outgoing();
    std::vector<proposal_result> take_results();

    void set_voters(std::vector<instance_id> voters);

    // Last known leader; zero for none.
    instance_id leader() const
    {
        return leader_;
    }

private:
    struct open_proposal
    {
        bool is_read = false;
        wire::entry_kind kind = wire::entry_kind::noop;
        std::vector<std::uint8_t> data;
        time_point deadline;
        time_point next_send;
        std::uint32_t copies_sent = 0;

        // Voter that the last copy was sent to and that has not answered it;
        // zero for none.
        instance_id awaited_voter = 0;

        // A leader hint is followed at once only once per resend interval, so
        // that two voters that name each other cause no message loop.
        bool followed_leader_hint = false;
    };

    std::uint64_t start(open_proposal opened, time_point now);
    void send(std::uint64_t number, open_proposal& opened, time_point now);
    instance_id next_target();
    void follow_leader_hint(
        std::uint64_t number, instance_id from, instance_id hint,
        time_point now);

    proposal_client_options options_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, open_proposal> open_;
    instance_id leader_ = 0;
    std::size_t next_voter_ = 0;
    std::vector<outgoing_message> outgoing_;
    std::vector<proposal_result> results_;
};

} // namespace hickorygap

#endif
