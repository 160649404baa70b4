#include "request/dispatch/stream_versions.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against a stream whose version is forgotten while its caller still
// waits, and against memory that grows with each stream.
TEST_CASE("the version of a stream is known for as long as callers wait")
{
    stream_versions versions;
    CHECK(versions.find(1, {0s}) == std::nullopt);
    versions.add(1, 7, {0s});
    versions.add(2, 7, {1s});
    versions.add(1, 7, {2s});
    CHECK(versions.find(1, {60s}) == 7);
    CHECK(versions.find(2, {60s}) == 7);
    // The older entry of stream 1 expires, the newer one stays.
    versions.add(3, 9, {61500ms});
    CHECK(versions.find(1, {61500ms}) == 7);
    CHECK(versions.find(2, {61500ms}) == std::nullopt);
    CHECK(versions.find(1, {63s}) == std::nullopt);
    for (stream_id stream = 10; stream < 200'010; ++stream)
    {
        versions.add(stream, 7, {62s});
    }
    CHECK(versions.size() <= 100'000);
    CHECK(versions.find(200'009, {63s}) == 7);
}

// Guards against a guess between two versions that a stream was recorded with:
// whichever record arrives last, at a voter or at one that is told later.
TEST_CASE("a stream with records of two versions is not known")
{
    stream_versions versions;
    versions.add(1, 7, {0s});
    versions.add(1, 8, {1s});
    CHECK(versions.find(1, {1s}) == std::nullopt);
    versions.add(1, 8, {2s});
    versions.add(1, 7, {3s});
    CHECK(versions.find(1, {3s}) == std::nullopt);
    stream_versions told_later;
    told_later.add(1, 8, {3s});
    for (const auto& [stream, version] : versions.list({3s}))
    {
        told_later.add(stream, version, {4s});
    }
    CHECK(told_later.find(1, {4s}) == std::nullopt);
    // After the retention period it is another stream.
    versions.add(1, 8, {64s});
    CHECK(versions.find(1, {64s}) == 8);
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
