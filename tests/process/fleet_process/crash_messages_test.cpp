#include "process/fleet_process/crash_messages.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;

// Guards against a time that is taken for one of the receiver's clock, and
// against an entry that is lost on the way.
TEST_CASE("a crash report keeps its distances in time at another clock")
{
    constexpr unix_millis sent = 100'000;
    constexpr unix_millis received = 700'000;
    constexpr unix_millis shift = received - sent;
    CHECK(encode_report({}, sent) == std::nullopt);
    crash_report report;
    report.suspects = {{1, 2, sent - 300, false, true}};
    report.quarantines = {{3, sent + 5000}};
    report.part_crashes = {{4, 5, sent - 900, sent - 400, {6, 7}}};
    report.answers = {{8, sent - 200}};
    report.trials = {9};
    const auto message = encode_report(report, sent);
    REQUIRE(message);
    const crash_report decoded = decode_report(*message, received);
    REQUIRE(decoded.suspects.size() == 1);
    CHECK(decoded.suspects[0].fingerprint == 1);
    CHECK(decoded.suspects[0].backend_server == 2);
    CHECK(decoded.suspects[0].crashed == sent - 300 + shift);
    CHECK(decoded.suspects[0].midway);
    REQUIRE(decoded.quarantines.size() == 1);
    CHECK(decoded.quarantines[0].fingerprint == 3);
    CHECK(decoded.quarantines[0].until == sent + 5000 + shift);
    REQUIRE(decoded.part_crashes.size() == 1);
    CHECK(decoded.part_crashes[0].fingerprint == 4);
    CHECK(decoded.part_crashes[0].backend_server == 5);
    CHECK(decoded.part_crashes[0].sent == sent - 900 + shift);
    CHECK(decoded.part_crashes[0].crashed == sent - 400 + shift);
    CHECK(decoded.part_crashes[0].parts == std::vector<prompt_part_id>{6, 7});
    REQUIRE(decoded.answers.size() == 1);
    CHECK(decoded.answers[0].part == 8);
    CHECK(decoded.answers[0].began == sent - 200 + shift);
    CHECK(decoded.trials == report.trials);
}
