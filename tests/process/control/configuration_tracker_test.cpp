#include "process/control/configuration_tracker.hpp"
#include "process/control/document_validator.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hickorygap;

namespace
{

std::vector<std::uint8_t> bytes_of(std::string_view text)
{
    return {text.begin(), text.end()};
}

std::string ticket_text(configuration_version number, std::string_view rest)
{
    return fmt::format(R"({{"ticket": {}{}}})", number, rest);
}

version_document_ptr
make_document(configuration_version number, std::string_view rest = "")
{
    auto document = std::make_shared<version_document>();
    document->version = number;
    document->document = bytes_of(ticket_text(number, rest));
    document->accepted = 1000 + number;
    return document;
}

} // namespace

// Guards against a batch of documents that is applied in part when one of them
// is invalid, and against a voter list that is attributed to a later ticket
// than the one that set it.
TEST_CASE("a batch of documents is applied in order and all or nothing")
{
    configuration_tracker tracker;
    const std::vector<version_document_ptr> first{
        make_document(1, R"(, "voters": [1, 2, 3])"), make_document(2)};
    REQUIRE(tracker.apply(first, 5000).ok());
    CHECK(tracker.current()->version() == 2);
    CHECK(tracker.since() == 5000);
    CHECK(tracker.last_voter_change().ticket == 1);
    CHECK(
        tracker.last_voter_change().voters ==
        std::vector<instance_id>{1, 2, 3});

    const std::vector<version_document_ptr> broken{
        make_document(3), make_document(4, R"(, "services": 7)")};
    CHECK_FALSE(tracker.apply(broken, 6000).ok());
    CHECK(tracker.current()->version() == 2);
    CHECK(tracker.since() == 5000);
}

// Guards against a cached configuration of another history being used for a
// check: voters that checked different tickets before would then disagree
// about the same ticket.
TEST_CASE("ticket validation depends only on the accepted tickets")
{
    const std::string service = R"(, "services": {"report": {"kind": "engine",
        "model": "m", "version": "1"}})";
    const std::string server = R"(, "backend_servers": {"e1": {"address":
        "127.0.0.1:9001", "service": "report", "failure_domain": "z"}})";
    ticket_record with_service;
    with_service.number = 1;
    with_service.document = bytes_of(ticket_text(1, service));
    with_service.chain[0] = 1;
    ticket_record without_service;
    without_service.number = 1;
    without_service.document = bytes_of(ticket_text(1, ""));
    without_service.chain[0] = 2;
    const std::vector<std::uint8_t> next = bytes_of(ticket_text(2, server));

    const document_validator validator;
    const std::vector accepted{with_service};
    const std::vector other{without_service};
    CHECK(validator.validate(next, accepted).ok());
    CHECK_FALSE(validator.validate(next, other).ok());
    CHECK(validator.validate(next, accepted).ok());
    CHECK_FALSE(validator.validate(next, {}).ok());
}
