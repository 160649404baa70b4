#include "common/json.hpp"
#include "process/operators/operator_handler.hpp"
#include "support/fake_operator_client.hpp"
#include "support/handler_server.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>

#include <string>
#include <tuple>

using namespace hickorygap;

namespace
{

const std::string token = "operators' token";

struct json_response
{
    int status = 0;
    Poco::JSON::Object::Ptr json;
    Poco::Net::HTTPResponse head;

    std::string error(const std::string& key) const
    {
        return json->getObject("error")->get(key).toString();
    }
};

// An operator_handler behind an HTTP server, with a fake operator_client.
class operator_server
{
public:
    fake_operator_client client;

    json_response send(
        const std::string& method, const std::string& path,
        const std::string& body = "",
        const std::string& authorization = "Bearer " + token)
    {
        Poco::Net::HTTPClientSession session{"127.0.0.1", server_.port()};
        Poco::Net::HTTPRequest request{method, path, "HTTP/1.1"};
        if (!authorization.empty())
        {
            request.set("Authorization", authorization);
        }
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        json_response result;
        std::string text;
        Poco::StreamCopier::copyToString(
            session.receiveResponse(result.head), text);
        result.status = result.head.getStatus();
        const auto json = parse_json_object(text, error_kind::internal);
        INFO(text);
        REQUIRE(json.ok());
        result.json = *json;
        return result;
    }

private:
    operator_handler handler_{client, sha256(std::string_view{token})};
    handler_server server_{handler_};
};

} // namespace

// Guards against operator requests that are served without a valid bearer
// token.
TEST_CASE("requests without the token are refused")
{
    operator_server port;
    const std::string authorization = GENERATE(
        "", "Bearer", "Bearer ", "Bearer wrong", "Basic operators' token",
        "bearer: x");
    const auto result = port.send(
        "POST", "/operator/tickets", R"({"ticket": 1})", authorization);
    CHECK(result.status == 401);
    CHECK(result.head.get("WWW-Authenticate") == "Bearer");
    CHECK(result.error("kind") == "unauthorized");
    CHECK(port.client.accepted.empty());
}

// Guards against a repeated ticket that is rejected as a conflict, and against
// a different ticket under a used number that is accepted.
TEST_CASE("filing a ticket returns the status of its outcome")
{
    operator_server port;
    const std::string path = "/operator/tickets";
    auto result = port.send("POST", path, R"({"ticket": 1})");
    CHECK(result.status == 200);
    CHECK_FALSE(result.json->getValue<bool>("duplicate"));
    result = port.send("POST", path, R"( {"ticket": 1} // again)");
    CHECK(result.status == 200);
    CHECK(result.json->getValue<bool>("duplicate"));
    CHECK(result.json->getValue<int>("accepted_unix_ms") == 1000);
    CHECK_FALSE(result.json->has("recorded_comment"));
    // A comment is not part of the content; the receipt reports the recorded
    // one when it differs.
    result = port.send("POST", path, R"({"ticket": 1, "comment": "again"})");
    CHECK(result.status == 200);
    CHECK(result.json->getValue<bool>("duplicate"));
    CHECK(result.json->getValue<std::string>("recorded_comment").empty());
    result = port.send("POST", path, R"({"ticket": 1, "voters": [1]})");
    CHECK(result.status == 409);
    CHECK(result.error("kind") == "ticket_conflict");
    CHECK(result.error("next_free_number") == "2");
    CHECK(result.error("outcome") == "not accepted");
    result = port.send("POST", path, R"({"ticket": 2, "votes": [1]})");
    CHECK(result.status == 422);
    CHECK(result.error("kind") == "ticket_invalid");
    CHECK(result.error("outcome") == "not accepted");
    result = port.send("POST", path, std::string(max_ticket_bytes + 1, ' '));
    CHECK(result.status == 413);
    CHECK(port.client.accepted.size() == 1);
}

// Guards against an error response that reports an unknown outcome as a
// rejection: the operator would then file a changed ticket.
TEST_CASE("error responses state the outcome of the ticket")
{
    const auto [kind, status, outcome] =
        GENERATE(table<error_kind, int, std::string>(
            {{error_kind::no_quorum, 503, "not accepted"},
             {error_kind::not_leader, 503, "not accepted"},
             {error_kind::storage_failed, 503, "not accepted"},
             {error_kind::cut_off, 503, "not accepted"},
             {error_kind::outcome_unknown, 503,
              "unknown, file the same ticket again"},
             {error_kind::deadline_exceeded, 503,
              "unknown, file the same ticket again"},
             {error_kind::internal, 500,
              "unknown, file the same ticket again"}}));
    operator_server port;
    port.client.failure = make_error(kind, "reason");
    const auto result =
        port.send("POST", "/operator/tickets", R"({"ticket": 1})");
    CHECK(result.status == status);
    CHECK(result.error("kind") == std::string{error_kind_name(kind)});
    CHECK(result.error("message") == "reason");
    CHECK(result.error("outcome") == outcome);
    CHECK(port.send("GET", "/operator/in-force").status == status);
}

// Guards against JSON reports that omit the instance state or the time since
// which a version is applied.
TEST_CASE("reports are served as JSON")
{
    operator_server port;
    port.send("POST", "/operator/tickets", R"({"ticket": 4, "voters": [1]})");
    auto result = port.send("GET", "/operator/tickets");
    CHECK(result.status == 200);
    CHECK(result.json->getValue<int>("next_free_number") == 5);
    CHECK(result.json->getArray("tickets")->size() == 1);
    result = port.send("GET", "/operator/tickets/4");
    CHECK(result.json->getObject("document")->getArray("voters")->size() == 1);

    port.client.report.version = 4;
    port.client.report.instances = {
        {3, "entry-3", "127.0.0.1:7003", "thess-a", instance_state::partitioned,
         3, 2000, false}};
    result = port.send("GET", "/operator/in-force");
    CHECK(result.json->get("fleet_since").isEmpty());
    const auto instance = result.json->getArray("instances")->getObject(0);
    CHECK(instance->getValue<std::string>("state") == "partitioned");
    CHECK(instance->getValue<int>("since_unix_ms") == 2000);
    CHECK(
        instance->getValue<std::string>("since") == "1970-01-01T00:00:02.000Z");
    port.client.report.fleet_since = 5000;
    result = port.send("GET", "/operator/in-force");
    CHECK(result.json->getValue<int>("fleet_since_unix_ms") == 5000);

    port.client.state.role = voter_role::leader;
    result = port.send("GET", "/operator/status");
    CHECK(result.json->getValue<std::string>("role") == "leader");
    CHECK(port.send("GET", "/operator/burn").status == 200);
}

// Guards against query parameters that are not passed on to the record store.
TEST_CASE("query parameters filter the decision records")
{
    operator_server port;
    const auto result = port.send(
        "GET",
        "/operator/decisions?organisation=diarroi&chat=van%201&from=5&to=9"
        "&limit=3");
    CHECK(result.status == 200);
    const decision_query& query = port.client.last_query;
    CHECK(query.organisation == hash_name("diarroi"));
    CHECK(query.chat == hash_chat(query.organisation, "van 1"));
    CHECK(query.from == 5);
    CHECK(query.to == 9);
    CHECK(query.limit == 3);
}

// Guards against a report that works only while the list of records is empty:
// converting a record to JSON must not fail.
TEST_CASE("decision records are reported with names instead of hashes")
{
    operator_server port;
    stored_decision decision;
    decision.record.organisation = hash_name("diarroi");
    decision.record.rank = 0;
    decision.record.choice = hash_name("engine-1");
    decision.record.candidates = {hash_name("engine-1")};
    decision.record.loads = {3};
    decision.record.reason = 1;
    port.client.records.decisions = {decision};
    port.client.records.names = {{hash_name("diarroi"), "diarroi"}};
    const auto result = port.send("GET", "/operator/decisions");
    REQUIRE(result.status == 200);
    const auto shown = result.json->getArray("decisions")->getObject(0);
    CHECK(shown->getValue<std::string>("organisation") == "diarroi");
    CHECK(shown->getValue<std::string>("rank") == "urgent");
    CHECK_FALSE(shown->getValue<std::string>("reason").empty());
    CHECK_FALSE(shown->getValue<std::string>("outcome").empty());
}

// Guards against unknown paths, methods and parameters that get an empty
// response instead of an error.
TEST_CASE("unknown paths and methods and parameters are errors")
{
    const auto [method, path, status] =
        GENERATE(table<std::string, std::string, int>(
            {{"GET", "/operator/ticket", 404},
             {"GET", "/", 404},
             {"GET", "/operator/tickets/9", 404},
             {"GET", "/operator/tickets/x", 404},
             {"GET", "/operator/ticketsX", 404},
             {"DELETE", "/operator/tickets/9", 405},
             {"PUT", "/operator/tickets", 405},
             {"POST", "/operator/burn", 405},
             {"GET", "/operator/decisions?limit=x", 400},
             {"GET", "/operator/decisions?chat=x", 400},
             {"GET", "/operator/decisions?orgnisation=x", 400}}));
    CAPTURE(method, path);
    operator_server port;
    const auto result = port.send(method, path);
    CHECK(result.status == status);
    CHECK_FALSE(result.error("message").empty());
    CHECK(result.head.has("Allow") == (status == 405));
}
