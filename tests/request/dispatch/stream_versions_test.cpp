#include "request/dispatch/stream_versions.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against a stream whose version is forgotten while its caller still
// waits, or is remembered from the attempt before the last, and against memory
// that grows with each stream.
TEST_CASE(
    "the version of a stream is the last one, for as long as callers wait")
{
    stream_versions versions;
    CHECK(versions.find(1, {0s}) == std::nullopt);
    versions.add(1, 7, {0s});
    versions.add(2, 7, {1s});
    versions.add(1, 8, {2s});
    CHECK(versions.find(1, {60s}) == 8);
    CHECK(versions.find(2, {60s}) == 7);
    // The older entry of stream 1 expires, the newer one stays.
    versions.add(3, 9, {61500ms});
    CHECK(versions.find(1, {61500ms}) == 8);
    CHECK(versions.find(2, {61500ms}) == std::nullopt);
    CHECK(versions.find(1, {63s}) == std::nullopt);
    for (stream_id stream = 10; stream < 200'010; ++stream)
    {
        versions.add(stream, 7, {62s});
    }
    CHECK(versions.size() <= 100'000);
    CHECK(versions.find(200'009, {63s}) == 7);
}

// Guards against versions of two services that are taken for one because they
// have the same name.
TEST_CASE("a software version belongs to its service")
{
    CHECK(software_version_of("a", "1") == software_version_of("a", "1"));
    CHECK(software_version_of("a", "1") != software_version_of("b", "1"));
    CHECK(software_version_of("a", "1") != software_version_of("a", "2"));
}

// Guards against voters that are told of streams which have ended.
TEST_CASE("the open streams are those that have not been removed")
{
    stream_versions versions;
    versions.add(1, 7, {0s});
    versions.add(2, 8, {1s});
    versions.add(3, 9, {50s});
    versions.remove(2);
    using stream_list = std::vector<std::pair<stream_id, software_version_id>>;
    CHECK(versions.list({100s}) == stream_list{{3, 9}});
    CHECK(versions.find(2, {1s}) == std::nullopt);
}
