#ifndef HICKORYGAP_TESTS_PROCESS_REPLICATED_STATE_VOTER_CLUSTER_HPP
#define HICKORYGAP_TESTS_PROCESS_REPLICATED_STATE_VOTER_CLUSTER_HPP

#include "process/replicated_state/proposal_client.hpp"
#include "process/replicated_state/voter.hpp"
#include "support/faulty_network.hpp"
#include "support/memory_log_storage.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap::test
{

// Accepts documents that do not start with "!". The digest ignores spaces.
class text_validator final : public ticket_validator
{
public:
    absl::StatusOr<digest> validate(
        std::span<const std::uint8_t> document,
        std::span<const ticket_record> accepted) const override;
};

std::vector<std::uint8_t>
ticket_data(configuration_version number, std::string_view document);

wire::call_intent_msg make_intent(
    std::string_view key, instance_id entry_instance, request_id request,
    std::uint8_t body = 1);

// A simulated group of voters and two entry instances with clients on a faulty
// network. Checks that every answer is consistent with the earlier ones and
// keeps the first violation.
class voter_cluster
{
public:
    voter_cluster(instance_id voters, std::uint64_t seed);

    void step();
    void run(int steps);

    // Performs one fault or request. kind and node may be any number; they are
    // reduced to the number of kinds and of nodes.
    void perform(std::uint8_t kind, std::uint8_t node);

    void heal();
    void crash(instance_id id);
    void restart(instance_id id);

    // Replaces the voter's disk by an empty one and restarts it.
    void lose_disk(instance_id id);

    // Whether every instance votes with its current disk and has committed the
    // whole log.
    bool is_fully_replicated();

    // Files a ticket and runs until it is accepted or 30 s have passed.
    bool file_ticket(std::string_view document);

    voter* find(instance_id id)
    {
        return members_.at(id).node.get();
    }
    voter* leader();

    // Delivers the message to the voter at once, as if sent by `observer`.
    void deliver(instance_id to, const wire::payloadUnion& payload);

    // Replies to the observer, including those of voters that are cut off from
    // the network.
    static constexpr instance_id observer = 99;
    std::vector<wire::propose_reply_msg> take_observer_replies()
    {
        return std::exchange(observer_replies_, {});
    }
    faulty_network& network()
    {
        return network_;
    }
    const std::map<configuration_version, ticket_record>& accepted() const
    {
        return accepted_;
    }
    std::size_t permitted_calls() const
    {
        return permitted_requests_.size();
    }
    std::size_t lost_disks() const
    {
        return lost_disks_;
    }
    std::size_t reads() const
    {
        return reads_;
    }

    // Checks that every voter has every accepted ticket unchanged.
    void check_histories();
    const std::string& violation() const
    {
        return violation_;
    }

private:
    struct member
    {
        std::shared_ptr<memory_disk> disk;
        std::unique_ptr<voter> node;
        int hung_steps = 0;
        int slow_disk_steps = 0;
    };

    struct request
    {
        wire::entry_kind kind = wire::entry_kind::noop;
        configuration_version number = 0;
        std::string text;
        request_id call = 0;
    };

    struct entry_client
    {
        std::unique_ptr<proposal_client> client;
        std::map<std::uint64_t, request> requests;
    };

    configuration_version next_number();
    void start_ticket(
        instance_id id, configuration_version number, std::string document);
    void start_intent(instance_id id, const std::string& key);
    void start_outcome(instance_id id, const std::string& key, request_id call);
    void start_read(instance_id id);
    void handle_result(instance_id id, const proposal_result& result);
    void handle_ticket_result(
        const request& sent_request, const proposal_result& result);
    void handle_intent_result(
        instance_id id, const request& sent_request,
        const proposal_result& result);
    void record_violation(std::string what);
    unix_millis clock(instance_id id) const;

    random_engine random_;
    faulty_network network_;
    time_point now_{std::chrono::seconds{1000}};
    std::vector<instance_id> ids_;
    std::map<instance_id, member> members_;
    std::map<instance_id, entry_client> entry_clients_;
    std::map<configuration_version, ticket_record> accepted_;
    std::map<configuration_version, digest> chains_;
    std::map<std::string, std::set<std::pair<instance_id, request_id>>>
        permitted_requests_;
    std::size_t reads_ = 0;
    std::size_t lost_disks_ = 0;
    std::vector<wire::propose_reply_msg> observer_replies_;
    std::string violation_;
};

} // namespace hickorygap::test

#endif
