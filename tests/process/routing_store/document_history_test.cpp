#include "common/compression.hpp"
#include "process/routing_store/document_history.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>

using namespace hickorygap;

namespace
{

// Makes a document of many routes, one of which depends on the version.
std::string document(configuration_version version, int routes = 500)
{
    std::string text = fmt::format("{{\"version\":{},\"routes\":[", version);
    for (int i = 0; i < routes; ++i)
    {
        text += fmt::format(
            "{{\"name\":\"r{}\",\"timeout\":{}}},", i * 7919,
            i == routes / 2 ? version : 1000);
    }
    return text + "]}";
}

} // namespace

// Load: a burst of configurations in a fleet of many routers on links of low
// bandwidth. Guards against sending the whole document for each router and
// version.
TEST_CASE("a router that holds a known version gets only the difference")
{
    document_history history;
    CHECK_FALSE(history.changes_since(0));
    history.add({3, document(3)});
    const auto whole = history.changes_since(0);
    REQUIRE(whole);
    CHECK(whole->base_version == 0);
    CHECK(*decompress(whole->document, 100'000) == document(3));

    history.add({4, document(4)});
    history.add({6, document(6)});
    for (const configuration_version held : {3U, 4U})
    {
        const auto change = history.changes_since(held);
        REQUIRE(change);
        CHECK(change->version == 6);
        CHECK(change->base_version == held);
        CHECK(change->document.size() * 20 < whole->document.size());
        CHECK(
            *decompress(change->document, 100'000, document(held)) ==
            document(6));
    }
    CHECK(history.changes_since(2)->base_version == 0);
    CHECK_FALSE(history.changes_since(6));
    CHECK_FALSE(history.changes_since(9));
}

// Guards against memory use that grows with the number or size of versions.
TEST_CASE("old versions are dropped beyond the limits of count and size")
{
    document_history history;
    for (configuration_version version = 1; version <= 20; ++version)
    {
        history.add({version, document(version)});
    }
    CHECK(history.changes_since(1)->base_version == 0);
    CHECK(history.changes_since(19)->base_version == 19);
    // Large documents reach the limit of bytes first.
    for (configuration_version version = 21; version <= 23; ++version)
    {
        history.add({version, std::string(8'000'000, 'x')});
    }
    CHECK(history.changes_since(22)->base_version == 0);
    CHECK(history.newest() == 23);
}
