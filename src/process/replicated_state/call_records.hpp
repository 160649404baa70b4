#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_CALL_RECORDS_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_CALL_RECORDS_HPP

#include "process/replicated_state/apply_result.hpp"

#include <records_generated.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace hickorygap
{

// Identity of a non-repeatable call within the fleet.
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
    // How long a call is remembered after its intent.
    unix_millis window = unix_millis{24} * 60 * 60 * 1000;

    // Longer response bodies are not kept; a retry then learns only that the
    // call ended.
    std::size_t max_body_bytes = std::size_t{256} * 1024;
};

// A permitted call that has no outcome yet.
struct open_call
{
    call_key key;
    instance_id entry_instance = 0;
    incarnation_number entry_incarnation = 0;
    request_id request = 0;
};

// Intents and outcomes of non-repeatable calls. At most one request gets the
// permission to run the call of a key, until the key expires or the request
// declares that it did not run it. Changes depend only on the log's entries
// and the times in them.
class call_records
{
public:
    explicit call_records(call_record_options options);

    // The answer to an intent that needs no new entry, if there is one.
    std::optional<apply_result>
    answer(const wire::call_intent_msg& intent) const;

    // `now` is the latest time in the log up to this entry.
    apply_result add_intent(wire::call_intent_msg intent, unix_millis now);
    apply_result add_outcome(wire::call_outcome_msg outcome, unix_millis now);

    // Drops the records whose window has passed.
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
        bool body_omitted = false;

        // The request declared that it did not run the call.
        bool released = false;

        // Place in order_.
        std::uint64_t sequence = 0;
    };

    apply_result result_of(const record& known) const;
    void insert(call_key key, record added);
    void end_older_incarnations(const wire::call_intent_msg& intent);

    call_record_options options_;
    std::map<call_key, record> records_;

    // Keys by the order of their intents, whose times never decrease.
    std::map<std::uint64_t, call_key> order_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace hickorygap

#endif
