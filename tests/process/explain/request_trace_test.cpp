#include "process/explain/request_trace.hpp"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

using namespace hickorygap;

namespace
{

// Adds the lines of `text`, each with the name of its process before the time.
void add_lines(request_trace& trace, const std::string& text)
{
    std::istringstream input{text};
    std::string line;
    while (std::getline(input, line))
    {
        if (const auto record = parse_log_line(line, "file"))
        {
            trace.add(*record);
        }
    }
}

std::string joined(const std::vector<std::string>& sentences)
{
    std::string result;
    for (const std::string& sentence : sentences)
    {
        result += sentence + "\n";
    }
    return result;
}

} // namespace

// Guards against a log line that is parsed with a wrong time, process or value,
// e.g. because a log collector has put a prefix before it.
TEST_CASE("a log line is parsed with or without the prefix of a collector")
{
    const auto [line, source] = GENERATE(table<std::string, std::string>({
        {"2026-03-15T17:17:58.660Z info attempt request_sent id=a1 "
         "backend=i-7 reason=preferred load=2.5 error=\"not in time\"",
         "file"},
        {"  -12.31 r-7 2026-03-15T17:17:58.660Z info attempt request_sent "
         "id=a1 backend=i-7 reason=preferred load=2.5 error=\"not in time\"",
         "r-7"},
    }));
    CAPTURE(line);
    const auto record = parse_log_line(line, "file");
    REQUIRE(record);
    CHECK(record->source == source);
    CHECK(record->time.count() == 1'773'595'078'660);
    CHECK(record->event == "request_sent");
    CHECK(record->field("backend") == "i-7");
    CHECK(record->field("error") == "not in time");
    CHECK(record->number("load") == 2.5);
    CHECK(record->field("other").empty());
    CHECK(record->text.substr(0, 4) == "2026");
}

// Guards against output of other programs that is parsed as a log line.
TEST_CASE("other text is not parsed as a log line")
{
    const auto* line = GENERATE(
        as<const char*>{}, "", "T", "no time here", "2026-03-15 17:17:58",
        "2026-03-15T17:17", "xxxx-xx-xxTxx:xx:xx.xxxZ info");
    CAPTURE(line);
    CHECK_FALSE(parse_log_line(line, "file"));
}

// Guards against naming a cause that the log lines of the request don't show.
TEST_CASE("the log lines of a request explain its outcome")
{
    const auto [text, expected] =
        GENERATE(table<std::string, std::vector<std::string>>({
            // A backend server crashes, and other requests there fail as well.
            {"r1 2026-03-15T17:00:00.000Z info attempt request_sent id=a1 "
             "backend=i-7 reason=preferred load=2.0 mean=2.1 send=1\n"
             "r2 2026-03-15T17:00:00.900Z info attempt attempt_failed id=b2 "
             "backend=i-7 outcome=broken after_ms=400\n"
             "r1 2026-03-15T17:00:00.907Z info attempt attempt_failed id=a1 "
             "backend=i-7 outcome=broken after_ms=907\n"
             "r1 2026-03-15T17:00:00.907Z warning http request_ended id=a1 "
             "status=0 outcome=cut_midway sends=1 events=21\n",
             {"i-7 was broken after 907 ms; 1 other attempts failed there",
              "so the backend server was the cause",
              "cut off after 21 events"}},
            // One response breaks off; the other failure is 8 s away.
            {"r1 2026-03-15T17:00:00.907Z info attempt attempt_failed id=a1 "
             "backend=i-7 outcome=broken after_ms=907\n"
             "r2 2026-03-15T17:00:09.000Z info attempt attempt_failed id=b2 "
             "backend=i-7 outcome=broken after_ms=400\n",
             {"0 other attempts failed there", "only this attempt"}},
            {"r1 2026-03-15T17:00:00.000Z info attempt request_sent id=a1 "
             "backend=i-7 reason=last_resort load=9.0 mean=2.1 send=1\n"
             "r1 2026-03-15T17:00:00.006Z info attempt attempt_failed id=a1 "
             "backend=i-7 outcome=rejected after_ms=6\n"
             "r1 2026-03-15T17:00:00.006Z warning attempt repeat_denied id=a1 "
             "service=llm sends=1\n"
             "r1 2026-03-15T17:00:00.006Z warning http request_ended id=a1 "
             "status=503 outcome=refused sends=1\n",
             {"i-7 was chosen as last_resort: load 9.0 where the mean was 2.1",
              "fleet's retry budget was exhausted", "refused after 1 sends"}},
            {"r1 2026-03-15T17:00:00.006Z warning http request_ended id=a1 "
             "status=503 outcome=refused sends=0 service=llm "
             "refused_connections=3\n",
             {"no backend server of service llm could accept it (3 connections "
              "refused)"}},
            {"r1 2026-03-15T17:00:00.006Z info attempt request_is_quarantined "
             "id=a1 fingerprint=00ab left_ms=9\n"
             "r1 2026-03-15T17:00:00.006Z warning http request_ended id=a1 "
             "status=503 outcome=quarantined sends=0\n",
             {"servers had crashed while running the same request before; see "
              "the failed "
              "attempts with fingerprint 00ab"}},
            {"r1 2026-03-15T17:00:00.006Z info http request_ended id=a1 "
             "status=200 outcome=answered sends=1 backend=i-7 "
             "first_event_ms=1078 took_ms=2000\n",
             {"answered by i-7: first event after 1078 ms, 2000 ms in total"}},
            {"r1 2026-03-15T17:00:00.006Z warning http request_ended id=a1 "
             "status=504 outcome=timed_out sends=1 backend=i-7 took_ms=600\n",
             {"no answer within 600 ms from i-7; 0 other attempts failed"}},
            // A router has just started and has lost its earlier configuration.
            {"r1 2026-03-15T17:00:00.000Z info configuration "
             "configuration_applied version=3\n"
             "r1 2026-03-15T17:00:05.000Z info process started role=router\n"
             "r1 2026-03-15T17:00:05.700Z warning http request_ended id=a1 "
             "status=503 outcome=no_configuration sends=0\n",
             {"r1 had started 700 ms before and had no configuration yet"}},
            {"r1 2026-03-15T17:00:00.006Z warning http request_ended id=a1 "
             "status=0 outcome=caller_left events=6 took_ms=195\n",
             {"the caller disconnected after 195 ms and 6 events"}},
            {"r1 2026-03-15T17:00:00.006Z info http request_ended id=a1 "
             "status=404 outcome=no_route sends=0\n",
             {"ended with status 404: no_route"}},
        }));
    CAPTURE(text);
    request_trace trace{"a1"};
    add_lines(trace, text);
    const std::string explanation = joined(trace.explanation());
    for (const std::string& part : expected)
    {
        CHECK_THAT(explanation, Catch::Contains(part));
    }
}

// Guards against showing the state of another router, or a state that the
// router reached only after the request had arrived.
TEST_CASE("the state shown is that of the router when the request arrived")
{
    request_trace trace{"a1"};
    add_lines(
        trace,
        "r1 2026-03-15T17:00:01.000Z info configuration configuration_applied "
        "version=3\n"
        "r1 2026-03-15T17:00:02.000Z info configuration configuration_applied "
        "version=4\n"
        "r1 2026-03-15T17:00:01.500Z info routing backend_list_applied "
        "epoch=2 sequence=9\n"
        "r2 2026-03-15T17:00:02.500Z info configuration configuration_applied "
        "version=9\n"
        "r1 2026-03-15T17:00:03.000Z info attempt request_sent id=a1 "
        "backend=i-7 reason=preferred\n"
        "r1 2026-03-15T17:00:03.500Z info configuration configuration_applied "
        "version=5\n"
        "r1 2026-03-15T17:00:04.000Z info http request_ended id=a1 "
        "status=200 outcome=answered sends=1\n");
    const auto state_lines = trace.state_lines();
    REQUIRE(state_lines.size() == 2);
    CHECK(state_lines[0].field("sequence") == "9");
    CHECK(state_lines[1].field("version") == "4");
    CHECK(trace.lines().size() == 2);
}

// Guards against an explanation drawn from the log lines of other requests.
TEST_CASE("a request that no log line names is not explained")
{
    request_trace trace{"a1"};
    add_lines(
        trace, "r1 2026-03-15T17:00:04.000Z info http request_ended id=b2 "
               "status=200 outcome=answered sends=1\n");
    CHECK(trace.lines().empty());
    CHECK(trace.explanation().empty());
}
