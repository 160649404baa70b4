#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_CALL_RECORDS_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_CALL_RECORDS_HPP

#include "process/replicated_state/apply_result.hpp"

#include <records_generated.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hickorygap
{

// Identifies a non-idempotent call within the fleet by its idempotency key.
struct call_key
{
    organisation_id organisation = 0;
    service_id service = 0;
    std::string key;

    friend bool operator<(const call_key& left, const call_key& right)
    {
        return std::tie(left.organisation, left.service, left.key) <
               std::tie(right.organisation, right.service, right.key);
    }
};

struct call_record_options
{
    // Retention in milliseconds of the record of a call after its intent.
    unix_millis window = unix_millis{24} * 60 * 60 * 1000;

    // Longer response bodies are not kept; a retry then learns only that the
    // call ended. Senders should omit them and set body_omitted, because
    // proposals have a size limit, too.
    std::size_t max_body_bytes = std::size_t{256} * 1024;
};

// A call that a request may run and that has no outcome yet.
struct open_call
{
    call_key key;
    instance_id entry_instance = 0;
    incarnation_number entry_incarnation = 0;
    request_id request = 0;
};

// Intents and outcomes of non-idempotent calls, replicated through the log. At
// most one request is permitted to run the call of a key, until the key expires
// or the request declares that it did not run the call. Changes depend only on
// the log entries and the times in them, so that all voters agree.
class call_records
{
public:
    explicit call_records(call_record_options options);

    // Returns the answer to an intent if it needs no new log entry.
    std::optional<apply_result>
    answer(const wire::call_intent_msg& intent) const;

    // Apply a committed entry; `now` is the latest time in the log up to it.
    apply_result add_intent(wire::call_intent_msg intent, unix_millis now);
    apply_result add_outcome(wire::call_outcome_msg outcome, unix_millis now);

    // Drops the records that are older than the window.
    void expire(unix_millis now);

    std::vector<open_call> open_calls() const;
    std::size_t size() const
    {
        return records_.size();
    }

    void save(wire::state_snapshot_msg& snapshot) const;
    void restore(const wire::state_snapshot_msg& snapshot);

private:
    struct record
    {
        wire::call_intent_msg intent;
        std::optional<wire::call_outcome_msg> outcome;

        // The request declared that it did not run the call, which frees the
        // key for other requests.
        bool released = false;

        // Key in keys_by_sequence_.
        std::uint64_t sequence = 0;
    };

    using process_id = std::pair<instance_id, incarnation_number>;

    apply_result result_of(const record& known) const;
    void insert(call_key key, record added);
    void close_calls_of_older_incarnations(const wire::call_intent_msg& intent);
    void set_outcome(record& known, wire::call_outcome_msg outcome);
    void erase_open_call(const record& known);

    call_record_options options_;
    std::map<call_key, record> records_;

    // Keys in the order of their intents, whose times never decrease.
    std::map<std::uint64_t, call_key> keys_by_sequence_;
    std::uint64_t last_sequence_ = 0;

    // Keys of the open calls by the process that may run them, so that frequent
    // queries about them do not scan all records.
    std::map<process_id, std::set<call_key>> open_keys_;
};

} // namespace hickorygap

#endif
