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

struct command_result
{
    exit_code code;
    std::string out;
    std::string error;
};

command_result
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

// Operator API of one instance with a fake operator_client, and a file with its
// bearer token.
class operator_test_server
{
public:
    fake_operator_client client;

    operator_test_server()
        : token_file_(
              fs::temp_directory_path() /
              fmt::format("hickorygap-token-{}", ::getpid()))
    {
        std::ofstream{token_file_} << "secret\n";
    }
    ~operator_test_server()
    {
        std::error_code ignored;
        fs::remove(token_file_, ignored);
    }
    operator_test_server(const operator_test_server&) = delete;
    operator_test_server& operator=(const operator_test_server&) = delete;

    command_result operator()(
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

// Guards against a usage error that exits with the code of success or of a
// refusal, which a script would misinterpret.
TEST_CASE("invalid command lines are usage errors that name the remedy")
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
             {{"explain", "id"}, "takes at least 2 argument(s) but got 1"},
             {{"ticket", "file", "/none"}, "/none can't be read"},
             {{"ticket", "show", "x"}, "needs the number"},
             {{"serve"}, "needs --settings"}}));
    CAPTURE(arguments);
    const command_result result = run(arguments);
    CHECK(result.code == exit_code::usage);
    CHECK_THAT(result.error, Catch::Contains(expected));
    CHECK(result.out.empty());
}

// Guards against flag values that leak from one parse into the next: flags are
// global variables.
TEST_CASE("flags may appear anywhere and are reset between parses")
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

// Guards against exit codes and output from which a script can't tell the
// outcome of a ticket.
TEST_CASE("ticket file reports the outcome by its exit code")
{
    operator_test_server server;
    auto result = server({"ticket", "file", "-"}, R"({"ticket": 1})");
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::StartsWith("ticket 1 accepted\n"));
    result = server({"ticket", "file", "-"}, R"({ "ticket": 1 })");
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("was accepted before"));
    result = server(
        {"ticket", "file", "-"},
        R"({"ticket": 1, "comment": "for the audit"})");
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("your comment was not recorded"));
    result = server({"ticket", "file", "-"}, R"({"ticket": 1, "voters": [1]})");
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("next_free_number  2"));
    CHECK_THAT(result.error, Catch::Contains("outcome           not accepted"));
    result =
        server({"ticket", "file", "-", "--json"}, R"({"ticket": 1, "x": 1})");
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.out, Catch::Contains(R"("kind":"ticket_invalid")"));
    server.client.failure =
        make_error(error_kind::outcome_unknown, "no answer");
    result = server({"ticket", "file", "-"}, R"({"ticket": 2})");
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("file the same ticket again"));
}

// Guards against a fleet that is reported as unreachable because one instance
// is down or responds with 503.
TEST_CASE("servers are tried in turn")
{
    const operator_test_server server;
    const std::string token = "--token-file=" + server.token_file();
    auto result = run(
        {"status", token, "--server", "127.0.0.1:1", "--server",
         server.address()});
    CHECK(result.code == exit_code::done);
    operator_test_server refusing;
    refusing.client.failure = make_error(error_kind::no_quorum, "no quorum");
    result = run(
        {"status", token, "--server",
         refusing.address() + "," + server.address()});
    CHECK(result.code == exit_code::done);
    result =
        run({"status", token, "--server", "127.0.0.1:1," + refusing.address()});
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.error, Catch::Contains("no quorum"));
    result = run({"status", token, "--server", "127.0.0.1:1,127.0.0.1:2"});
    CHECK(result.code == exit_code::unreachable);
    CHECK_THAT(result.error, Catch::Contains("no instance answered"));
}

// Guards against a verification that succeeds although a stored ticket was
// changed or removed.
TEST_CASE("ticket verify detects changed and removed tickets")
{
    operator_test_server server;
    for (int i = 1; i <= 4; ++i)
    {
        server({"ticket", "file", "-"}, fmt::format(R"({{"ticket": {}}})", i));
    }
    auto result = server({"ticket", "verify"});
    CHECK(result.code == exit_code::done);
    CHECK_THAT(result.out, Catch::Contains("4 tickets verified"));
    const auto original = server.client.accepted;
    accepted_ticket& changed = server.client.accepted[1];
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
        server.client.accepted.erase(server.client.accepted.begin() + 1);
    }
    result = server({"ticket", "verify"});
    CHECK(result.code == exit_code::refused);
    result = server({"ticket", "verify", "--json"});
    CHECK_THAT(result.out, Catch::Contains(R"("verified":false)"));
}

// Guards against misaligned columns and missing cells in the text reports.
TEST_CASE("reports are aligned tables")
{
    operator_test_server server;
    server.client.report.version = 12;
    server.client.report.fleet_since = 1000;
    server.client.report.instances = {
        {1, "entry-1", "127.0.0.1:7001", "thess-a", instance_state::alive, 12,
         1000, true},
        {10, "entry-ten", "127.0.0.1:7010", "thess-b", instance_state::dead, 9,
         0, false}};
    CHECK(
        server({"in-force"}).out ==
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
    server.client.burned.rows = {
        {1, "diarroi", rank::urgent, {{{90, 5, 5, 0}, {}, {}}}}};
    CHECK_THAT(
        server({"report", "burn"}).out,
        Catch::Contains("diarroi       urgent  5m        90     5        5"
                        "       0       2.00\n"));
    server.client.records.gaps = {{3, 9, 2, decision_gap::unknown_end}};
    CHECK_THAT(
        server({"decisions"}).out,
        Catch::Contains("gap: instance 3 incarnation 9 batches from 2"));
    CHECK(server({"status"}).code == exit_code::done);
    CHECK_THAT(
        server({"ticket", "list"}).out, Catch::Contains("next free number: 1"));
}

// Guards against a settings check that omits an effective value.
TEST_CASE("check-settings prints every value and names invalid keys")
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

// Guards against a mistyped request id that looks like a request without
// problems.
TEST_CASE("explain prints a request's log lines and fails without any")
{
    const std::string log =
        "r1 2026-03-15T17:00:01.000Z info configuration configuration_applied "
        "version=3\n"
        "r1 2026-03-15T17:00:04.000Z warning http request_ended id=a1 "
        "status=503 outcome=refused sends=0 service=llm\n";
    const command_result found = run({"explain", "a1", "-"}, log);
    CHECK(found.code == exit_code::done);
    CHECK_THAT(found.out, Catch::Contains("version=3"));
    CHECK_THAT(found.out, Catch::Contains("no backend server of service llm"));

    const command_result missing = run({"explain", "a2", "-"}, log);
    CHECK(missing.code == exit_code::refused);
    CHECK_THAT(missing.error, Catch::Contains("check the id"));
    CHECK(run({"explain", "a1", "/no/such/log"}).code == exit_code::refused);
    CHECK(run({"explain", "a1"}).code == exit_code::usage);
}
