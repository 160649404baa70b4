#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_CRASH_MESSAGES_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_CRASH_MESSAGES_HPP

#include "messages/codec.hpp"
#include "request/blame/blame_tracker.hpp"
#include "request/blame/part_crash_tracker.hpp"

#include <optional>
#include <vector>

namespace hickorygap
{

// What one process tells another about requests and parts of prompts that crash
// backend servers.
struct crash_report
{
    std::vector<suspect_notice> suspects;
    std::vector<quarantine> quarantines;
    std::vector<part_crash> part_crashes;
    std::vector<answered_part> answers;

    // Quarantined parts that the receiver may try again.
    std::vector<prompt_part_id> trials;
};

// Conversions of reports. Times travel as distances from `now`, because the
// clocks of two processes differ. nullopt: there is nothing to report.
std::optional<wire::blame_report_msg>
encode_report(const crash_report& report, unix_millis now);
crash_report
decode_report(const wire::blame_report_msg& message, unix_millis now);

} // namespace hickorygap

#endif
