#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace hickorygap;
using namespace hickorygap::testing;

// Guards against events that are lost, repeated or reordered between engine
// and caller, and against a placement grant that is not returned.
TEST_CASE("a streamed chat is relayed completely and in order")
{
    relay_fixture fixture;
    engine_model& engine = fixture.add_engine("eng-1");
    fixture.start();

    const raw_response first =
        fixture.send_request(chat_request_text(streamed_body));
    const raw_response again =
        fixture.send_request(chat_request_text(streamed_body));

    CHECK(first.status == 200);
    CHECK(first.complete);
    CHECK(first.headers.at("content-type") == "text/event-stream");
    CHECK(first.body.find("t0-") != std::string::npos);
    CHECK(first.body.ends_with("data: [DONE]\n\n"));
    CHECK(again.body == first.body);
    CHECK(engine.counts().cache_hits == 1);
    REQUIRE(eventually([&] { return fixture.control.reports().size() == 2; }));
    CHECK(
        fixture.control.reports()[0].outcome ==
        wire::attempt_outcome::completed);
    // One token for each of the nine events, and an estimated one for each
    // four bytes of the prompt.
    CHECK(
        fixture.control.reports()[0].actual_cost ==
        9 + std::string{streamed_body}.size() / 4);
}

// Guards against a response that is sent as server-sent events although the
// request doesn't set "stream".
TEST_CASE("a chat without stream is answered as one JSON object")
{
    relay_fixture fixture;
    fixture.add_engine("eng-1");
    fixture.start();

    const raw_response response =
        fixture.send_request(chat_request_text(R"({"model":"report-7b"})"));

    CHECK(response.status == 200);
    CHECK(response.headers.at("content-type") == "application/json");
    CHECK(response.body.find("\"choices\"") != std::string::npos);
}

// Guards against a non-repeatable call that runs again when its caller resends
// it with the same Idempotency-Key.
TEST_CASE("a call resent with the same idempotency key runs only once")
{
    const auto log = std::filesystem::temp_directory_path() /
                     ("hickorygap_booking_" + std::to_string(random_seed()));
    relay_fixture fixture;
    service_options booking;
    booking.log_file = log.string();
    fixture.add_server("book-1", "booking", make_service_handler(booking));
    fixture.start();

    const auto first =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    const auto again =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    const auto other =
        fixture.send_request(booking_request_text("van 8", "key-1"));

    CHECK(first.status == 200);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(other.status == 409);
    CHECK(other.body.find("idempotency_key_reused") != std::string::npos);
    std::ifstream runs{log};
    std::string line;
    std::vector<std::string> lines;
    while (std::getline(runs, line))
    {
        lines.push_back(line);
    }
    CHECK(lines == std::vector<std::string>{"POST /booking/vans van 7"});
    CHECK(fixture.control.outcomes().size() == 1);
    std::filesystem::remove(log);
}
