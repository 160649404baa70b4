#include "process/fleet_process/limit_messages.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;

// Guards against a limit that differs between the leader's table and the
// server's responses: routers would report it as news with each response.
TEST_CASE("limits are the same after their transfer")
{
    const auto limit = GENERATE(
        as<std::optional<double>>{}, std::nullopt, 0.0, 0.2, 4.23456789, 1e9);
    const auto [is_brittle, rejections] = GENERATE(
        table<bool, std::uint16_t>({{false, 0}, {true, 0}, {true, 65535}}));
    const std::vector<backend_limit> limits{
        {7, limit, false, is_brittle, rejections}};
    CHECK(decode_limits(encode_limits(limits)) == limits);
    const permit_query query = decode_query(
        encode_query({5, limits, {{8, 1.5}}, {{}, true, 11, 12, {13}, 2}}, 3));
    CHECK(query.version == 5);
    CHECK(query.candidates == limits);
    CHECK(query.observed == std::vector<backend_limit>{{8, 1.5}});
    CHECK(query.request.others_too);
    CHECK(query.request.service == 11);
    CHECK(query.request.software_version == 12);
    CHECK(query.request.excluded == std::vector<backend_server_id>{13});
    CHECK(query.request.rank_below_first == 2);
    const limit_changes changes =
        decode_changes(encode_changes({9, 7, limits}));
    CHECK(changes.version == 9);
    CHECK(changes.base_version == 7);
    CHECK(changes.limits == limits);
}
