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

    // Without an answer for this long another member is asked.
    duration pull_timeout{std::chrono::seconds{1}};

    // A member that did not answer is asked for this long only when no other
    // member has a higher version. Where only one link is left, a lost message
    // must not delay the next attempt.
    duration silent_penalty{std::chrono::seconds{10}};

    // A member that sent a document that does not fit the chain is not asked
    // for this long.
    duration chain_penalty{std::chrono::seconds{10}};

    // A member that had no budget is not asked for this long.
    duration busy_pause{std::chrono::milliseconds{500}};

    // Bytes of documents in one push; a larger document is sent alone.
    std::size_t push_bytes = std::size_t{64} * 1024;

    // Bytes of documents served in a second on average, and at once. The burst
    // lets two members bring a fresh instance to ticket 5,000 (of 1 KB each)
    // without a wait. At the target's 92 restarts a day that are 14 B/s for
    // each of 380 instances on average.
    std::size_t served_bytes_per_second = std::size_t{16} * 1024;
    std::size_t served_burst = std::size_t{4} * 1024 * 1024;
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

// Spread of accepted tickets. Holds all documents from version 1 on, pulls
// missing ones from members that announce a higher version, and serves others.
// Documents are passed on in order and only when they fit the hash chain; the
// version never decreases. Does not parse documents.
class version_sync
{
public:
    version_sync(version_sync_options options, time_point now);

    // Takes documents from this instance's own storage, in order. Errors:
    // storage_damaged when they do not fit the chain; the documents before
    // the error are kept.
    absl::Status restore(std::span<const version_document> documents);

    // Takes the next document from this instance's own replicated log. A
    // document that is already held is ignored when it is the same. Errors:
    // invalid_request for a gap, storage_damaged when it contradicts the
    // chain.
    absl::Status add(version_document document);

    // The version that this instance had applied before it restarted.
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

    // Takes pings and acknowledgements (for their version), version_pull and
    // version_push; ignores other payloads.
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

    // Chain digest of the present version.
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

    void note_version(
        instance_id from, configuration_version version, time_point now);
    void
    serve(instance_id to, const wire::version_pull_msg& pull, time_point now);
    void take_push(
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
    std::int64_t budget_;
    time_point last_refill_;
    version_sync_counters counters_;
};

} // namespace hickorygap

#endif
