#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace hickorygap;
using namespace hickorygap::testing;

// Guards against a stream that loses, repeats or reorders events on the way
// and against a grant that is not given back.
TEST_CASE("a streamed chat reaches the caller whole")
{
    relay_fixture fixture;
    engine_model& engine = fixture.add_engine("eng-1");
    fixture.start();

    const raw_response first = fixture.ask(chat_request_text(streamed_body));
    const raw_response again = fixture.ask(chat_request_text(streamed_body));

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
    // Nine events and an estimated token per four bytes of the prompt.
    CHECK(
        fixture.control.reports()[0].actual_cost ==
        9 + std::string{streamed_body}.size() / 4);
}

// Guards against an answer without "stream" that is sent as events.
TEST_CASE("a chat without stream is answered as one JSON object")
{
    relay_fixture fixture;
    fixture.add_engine("eng-1");
    fixture.start();

    const raw_response response =
        fixture.ask(chat_request_text(R"({"model":"report-7b"})"));

    CHECK(response.status == 200);
    CHECK(response.headers.at("content-type") == "application/json");
    CHECK(response.body.find("\"choices\"") != std::string::npos);
}

// Guards against a booking that runs again when its caller sends it again.
TEST_CASE("a booking runs once however often its key is sent")
{
    const auto log = std::filesystem::temp_directory_path() /
                     ("hickorygap_booking_" + std::to_string(random_seed()));
    relay_fixture fixture;
    service_options booking;
    booking.log_file = log.string();
    fixture.add_server("book-1", "booking", make_service_handler(booking));
    fixture.start();

    const auto first = fixture.ask(booking_request_text("van 7", "key-1"));
    const auto again = fixture.ask(booking_request_text("van 7", "key-1"));
    const auto other = fixture.ask(booking_request_text("van 8", "key-1"));

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
