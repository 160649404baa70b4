#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_VERSION_SYNC_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_VERSION_SYNC_HPP

#include "common/random.hpp"
#include "process/membership/version_document.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

struct version_sync_options
{
    instance_id self = 0;
    std::uint64_t random_seed = 0;

    // When a pull is not answered within this time, another member is asked.
    duration pull_timeout{std::chrono::seconds{1}};

    // For this time a member that did not answer is asked only when no other
    // member has a higher version. It is not excluded, because where only one
    // link is left a lost message must not delay the next attempt.
    duration unresponsive_backoff{std::chrono::seconds{10}};

    // For this time a member is not asked after it sent a document that does
    // not fit the hash chain.
    duration chain_error_backoff{std::chrono::seconds{10}};

    // For this time a member is not asked after it answered that its serving
    // budget is used up.
    duration busy_backoff{std::chrono::milliseconds{500}};

    // Limit for the documents in one push; a larger document is sent alone.
    std::size_t max_push_bytes = std::size_t{64} * 1024;

    // Token bucket for documents served to other members: its rate and its
    // size. The burst lets two members bring a new instance to ticket 5,000 (of
    // 1 KB each) without a wait. At 92 restarts a day this amounts to 14 B/s
    // for each of 380 instances on average.
    std::size_t served_bytes_per_second = std::size_t{16} * 1024;
    std::size_t served_burst_bytes = std::size_t{4} * 1024 * 1024;
};

struct version_sync_counters
{
    std::uint64_t pulls_sent = 0;
    std::uint64_t pulls_timed_out = 0;
    std::uint64_t pulls_refused_busy = 0;
    std::uint64_t documents_received = 0;
    std::uint64_t documents_served = 0;
    std::uint64_t chain_errors = 0;
};

// Replicates accepted tickets to all instances. Holds all documents from
// version 1 on, pulls missing ones from members that announce a higher version,
// and serves the pulls of others. Documents are added in order and only when
// they fit the hash chain; the version never decreases. Does not parse
// documents.
class version_sync
{
public:
    version_sync(version_sync_options options, time_point now);

    // Adds documents from this instance's own storage, in order. Error:
    // storage_damaged when one does not fit the chain; the documents before it
    // are kept.
    absl::Status restore(std::span<const version_document> documents);

    // Adds the next document from this instance's own replicated log. A
    // document that is already held is ignored if it has the same chain digest.
    // Errors: invalid_request for a gap, storage_damaged when the document
    // contradicts the chain.
    absl::Status add(version_document document);

    // Sets the version that this instance had applied before it restarted. The
    // floor never decreases.
    void set_floor(configuration_version floor);

    // False while the version is below the floor; the instance must not take
    // work then.
    bool reached_floor() const
    {
        return version() >= floor_;
    }
    configuration_version floor() const
    {
        return floor_;
    }

    // Handles version_pull and version_push, and the version in ping and
    // ping_ack; ignores other payloads.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);
    void tick(time_point now);
    std::vector<outgoing_message> take_outgoing();

    // Verified documents that were not yet returned, in order, including
    // restored ones.
    std::vector<version_document_ptr> take_new_documents();

    configuration_version version() const
    {
        return documents_.size();
    }

    // Chain digest of the current version.
    digest chain() const;

    // Document of a version, or nullptr.
    version_document_ptr find(configuration_version version) const;

    // Highest version that any member has announced.
    configuration_version highest_announced() const
    {
        return highest_announced_;
    }

    const version_sync_counters& counters() const
    {
        return counters_;
    }

private:
    struct source
    {
        configuration_version version = 0;
        time_point usable_from;
        time_point preferred_from;
    };

    struct outstanding_pull
    {
        instance_id from = 0;
        time_point sent;
    };

    void record_announced_version(
        instance_id from, configuration_version version, time_point now);
    void
    serve(instance_id to, const wire::version_pull_msg& pull, time_point now);
    void handle_push(
        instance_id from, const wire::version_push_msg& push, time_point now);
    bool append_verified(version_document document);
    void pull_if_behind(time_point now);
    void refill(time_point now);

    version_sync_options options_;
    random_engine random_;
    std::vector<version_document_ptr> documents_;
    std::vector<version_document_ptr> new_documents_;
    std::vector<outgoing_message> outgoing_;
    std::map<instance_id, source> sources_;
    std::optional<outstanding_pull> pull_;
    configuration_version floor_ = 0;
    configuration_version highest_announced_ = 0;
    std::int64_t serve_budget_bytes_;
    time_point last_refill_;
    version_sync_counters counters_;
};

} // namespace hickorygap

#endif
