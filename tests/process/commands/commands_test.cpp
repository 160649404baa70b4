#include "process/commands/command_line.hpp"
#include "process/operators/operator_handler.hpp"
#include "support/fake_operator_client.hpp"
#include "support/handler_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <tuple>

using namespace hickorygap;

namespace
{

namespace fs = std::filesystem;

struct outcome
{
    exit_code code;
    std::string out;
    std::string error;
};

outcome
run(const std::vector<std::string>& arguments, const std::string& input = "")
{
    std::istringstream in{input};
    std::ostringstream out;
    std::ostringstream error;
    const auto options = parse_command_line(arguments);
    if (!options.ok())
    {
        return {exit_code::usage, "", std::string{options.status().message()}};
    }
    const exit_code code = run_command(*options, {in, out, error});
    return {code, out.str(), error.str()};
}

// An instance's operator port and a file with its token.
class test_fleet
{
public:
    fake_operator_client client;

    test_fleet()
        : token_file_(
              fs::temp_directory_path() /
              fmt::format("hickorygap-token-{}", ::getpid()))
    {
        std::ofstream{token_file_} << "secret\n";
    }
    ~test_fleet()
    {
        std::error_code ignored;
        fs::remove(token_file_, ignored);
    }
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    outcome operator()(
        std::vector<std::string> arguments, const std::string& input = "") const
    {
        arguments.push_back("--server=" + server_.address());
        arguments.push_back("--token-file");
        arguments.push_back(token_file_.string());
        return run(arguments, input);
    }

    std::string token_file() const
    {
        return token_file_.string();
    }
    std::string address() const
    {
        return server_.address();
    }

private:
    fs::path token_file_;
    operator_handler handler_{client, sha256(std::string_view{"secret"})};
    handler_server server_{handler_};
};

} // namespace

// Guards against a mistake that a script takes for success or refusal.
TEST_CASE("mistakes on the command line are usage errors with a remedy")
{
    const auto [arguments, expected] =
        GENERATE(table<std::vector<std::string>, std::string>(
            {{std::vector<std::string>{}, "usage: hickorygap"},
             {{"sttus"}, "nearest command is \"status\""},
             {{"ticket", "fil", "x"}, "nearest command is \"ticket file\""},
             {{"status", "--jsn"}, "nearest flag is --json"},
             {{"status", "--json=perhaps"}, "--json can't be \"perhaps\""},
             {{"status", "--server"}, "--server needs a value"},
             {{"status"}, "--server is missing"},
             {{"status", "--server", "host:1"}, "IP number"},
             {{"status", "--server", "127.0.0.1:1"}, "--token-file is missing"},
             {{"status", "--server", "127.0.0.1:1", "--token-file", "/none"},
              "can't be read"},
             {{"status", "extra"}, "takes 0 argument(s) but got 1"},
             {{"ticket", "file"}, "takes 1 argument(s) but got 0"},
             {{"ticket", "file", "/none"}, "/none can't be read"},
             {{"ticket", "show", "x"}, "needs the number"},
             {{"serve"}, "needs --settings"}}));
    CAPTURE(arguments);
    const outcome result = run(arguments);
    CHECK(result.code == exit_code::usage);
    CHECK_THAT(result.error, Catch::Contains(expected));
    CHECK(result.out.empty());
}

// Guards against flags that leak from one parse into the next.
TEST_CASE("flags may stand anywhere and repeat")
{
    const std::vector<std::string> arguments{
        "--json",      "ticket",      "--server",
        "127.0.0.1:1", "show",        "--token_file=/t",
        "--server",    "127.0.0.1:2", "7"};
    const auto first = parse_command_line(arguments);
    REQUIRE(first.ok());
    CHECK(first->words == std::vector<std::string>{"ticket", "show", "7"});
    CHECK(
        first->servers ==
        std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"});
    CHECK(first->json);
    CHECK(first->token_file == "/t");
    const std::vector<std::string> plain{"status"};
    const auto second = parse_command_line(plain);
    REQUIRE(second.ok());
    CHECK_FALSE(second->json);
    CHECK(second->servers.empty());
}

// Guards against scripts that can't tell the outcome of a ticket.
TEST_CASE("tickets are filed with exit codes for scripts")
{
    test_fleet fleet;
    auto result = fleet({"ticket", "file", "-"}, R"({"ticket": 1})");
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::StartsWith("ticket 1 accepted\n"));
    result = fleet({"ticket", "file", "-"}, R"({ "ticket": 1 })");
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("was accepted before"));
    result = fleet(
        {"ticket", "file", "-"},
        R"({"ticket": 1, "comment": "for the audit"})");
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("your comment was not recorded"));
    result = fleet({"ticket", "file", "-"}, R"({"ticket": 1, "voters": [1]})");
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("next_free_number  2"));
    CHECK_THAT(result.error, Catch::Contains("outcome           not accepted"));
    result =
        fleet({"ticket", "file", "-", "--json"}, R"({"ticket": 1, "x": 1})");
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.out, Catch::Contains(R"("kind":"ticket_invalid")"));
    fleet.client.failure = make_error(error_kind::outcome_unknown, "no answer");
    result = fleet({"ticket", "file", "-"}, R"({"ticket": 2})");
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("file the same ticket again"));
}

// Guards against a fleet that counts as unreachable because of one instance.
TEST_CASE("servers are tried in turn")
{
    const test_fleet fleet;
    const std::string token = "--token-file=" + fleet.token_file();
    auto result = run(
        {"status", token, "--server", "127.0.0.1:1", "--server",
         fleet.address()});
    CHECK(result.code == exit_code::done);
    test_fleet refusing;
    refusing.client.failure = make_error(error_kind::no_quorum, "no quorum");
    result = run(
        {"status", token, "--server",
         refusing.address() + "," + fleet.address()});
    CHECK(result.code == exit_code::done);
    result =
        run({"status", token, "--server", "127.0.0.1:1," + refusing.address()});
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("no quorum"));
    result = run({"status", token, "--server", "127.0.0.1:1,127.0.0.1:2"});
    CHECK(result.code == exit_code::unreachable);
    CHECK_THAT(result.error, Catch::Contains("no instance answered"));
}

// Guards against a verification that passes changed tickets.
TEST_CASE("ticket verify finds changed tickets")
{
    test_fleet fleet;
    for (int i = 1; i <= 4; ++i)
    {
        fleet({"ticket", "file", "-"}, fmt::format(R"({{"ticket": {}}})", i));
    }
    auto result = fleet({"ticket", "verify"});
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("4 tickets verified"));
    const auto original = fleet.client.accepted;
    accepted_ticket& changed = fleet.client.accepted[1];
    SECTION("time of acceptance")
    {
        ++changed.accepted;
    }
    SECTION("document")
    {
        changed.document.text = R"({"ticket":2,"voters":[1]})";
    }
    SECTION("document with its digest")
    {
        changed.document =
            parse_ticket(R"({"ticket":2,"voters":[1]})")->document;
    }
    SECTION("a removed ticket")
    {
        fleet.client.accepted.erase(fleet.client.accepted.begin() + 1);
    }
    result = fleet({"ticket", "verify"});
    CHECK(result.code == exit_code::refused);
    result = fleet({"ticket", "verify", "--json"});
    CHECK_THAT(result.out, Catch::Contains(R"("verified":false)"));
}

// Guards against output that people can't read at a glance.
TEST_CASE("reports are aligned tables")
{
    test_fleet fleet;
    fleet.client.report.version = 12;
    fleet.client.report.fleet_since = 1000;
    fleet.client.report.instances = {
        {1, "entry-1", "127.0.0.1:7001", "thess-a", instance_state::alive, 12,
         1000, true},
        {10, "entry-ten", "127.0.0.1:7010", "thess-b", instance_state::dead, 9,
         0, false}};
    CHECK(
        fleet({"in-force"}).out ==
        "version 12, on every live instance since 1970-01-01T00:00:01.000Z\n"
        "\n"
        "INSTANCE  NAME       ADDRESS         FAILURE DOMAIN  STATE  READY  "
        "VERSION  SINCE\n"
        "       1  entry-1    127.0.0.1:7001  thess-a         alive  yes    "
        "     12  1970-01-01T00:00:01.000Z\n"
        "      10  entry-ten  127.0.0.1:7010  thess-b         dead   no     "
        "      9  -\n"
        "\n"
        "BACKEND SERVER  SERVICE  STATE  VERSION  SINCE  CHECKS FENCING\n");
    fleet.client.burned.rows = {
        {1, "diarroi", rank::urgent, {{{90, 5, 5, 0}, {}, {}}}}};
    CHECK_THAT(
        fleet({"report", "burn"}).out,
        Catch::Contains("diarroi       urgent  5m        90     5        5"
                        "       0       2.00\n"));
    fleet.client.records.gaps = {{3, 9, 2, decision_gap::unknown_end}};
    CHECK_THAT(
        fleet({"decisions"}).out,
        Catch::Contains("gap: instance 3 incarnation 9 batches from 2"));
    CHECK(fleet({"status"}).code == exit_code::done);
    CHECK_THAT(
        fleet({"ticket", "list"}).out, Catch::Contains("next free number: 1"));
}

// Guards against a settings check that hides an effective value.
TEST_CASE("check-settings prints every value and names mistakes")
{
    const auto path = (fs::temp_directory_path() /
                       fmt::format("hickorygap-settings-{}", ::getpid()))
                          .string();
    std::ofstream{path} << fmt::format(
        R"({{"instance": {{"id": 1, "failure_domain": "a"}},
            "operators": {{"token_digest": "{}"}},
            "peers": {{"fleet_key_file": "k"}}}})",
        to_hex(sha256(std::string_view{"x"})));
    auto result = run({"check-settings", path});
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("callers.limits.body_bytes"));
    result = run({"check-settings", path, "--json"});
    CHECK_THAT(result.out, Catch::Contains(R"("freshness_ms": 10000)"));
    std::ofstream{path} << "{}";
    result = run({"check-settings", path});
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("instance.id is missing"));
    fs::remove(path);
}

// Guards against an id that is mistyped and looks like a request without
// trouble.
TEST_CASE("explain gathers a request's lines and says when there are none")
{
    const std::string log =
        "r1 2026-03-15T17:00:01.000Z info configuration configuration_applied "
        "version=3\n"
        "r1 2026-03-15T17:00:04.000Z warning http request_ended id=a1 "
        "status=503 outcome=refused sends=0 service=llm\n";
    const outcome found = run({"explain", "a1", "-"}, log);
    CHECK(found.code == exit_code::done);
    CHECK_THAT(found.out, Catch::Contains("version=3"));
    CHECK_THAT(found.out, Catch::Contains("no server of service llm"));

    const outcome missing = run({"explain", "a2", "-"}, log);
    CHECK(missing.code == exit_code::refused);
    CHECK_THAT(missing.error, Catch::Contains("check the id"));
    CHECK(run({"explain", "a1", "/no/such/log"}).code == exit_code::refused);
    CHECK(run({"explain", "a1"}).code == exit_code::usage);
}
