#include "common/error.hpp"
#include "version/routing/routing_configuration.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace hickorygap;

namespace
{

route make_route(
    std::string name, std::string prefix,
    std::vector<weighted_service> targets = {{"reports", 1}})
{
    route result;
    result.name = std::move(name);
    result.host = "Site.example";
    result.path_prefix = std::move(prefix);
    result.targets = std::move(targets);
    result.timeout = std::chrono::seconds{1};
    return result;
}

routing_configuration_builder valid_builder()
{
    routing_configuration_builder builder{7};
    routed_service service;
    service.name = "reports";
    builder.add_service(service).add_route(make_route("all", "/a/"));
    builder.add_organisation({"diarroi", {"key-1", "key-2"}, 1});
    return builder;
}

} // namespace

// Guards against requests of one organisation that are not ordered by their
// routes' priorities, and against a route's priority that takes precedence over
// the organisations' priorities.
TEST_CASE("requests rank by the priority of the organisation then of the route")
{
    struct row
    {
        std::uint32_t route;
        std::optional<std::uint32_t> organisation;
    };
    // In scheduling order.
    const std::vector<row> order{{0, 0}, {1, 0}, {2, 0}, {0, 1}, {1, 1},
                                 {2, 1}, {0, 2}, {1, 2}, {2, 2}};
    std::uint32_t previous = 0;
    for (const row& item : order)
    {
        route matched;
        matched.priority = item.route;
        routed_organisation organisation;
        organisation.priority = item.organisation;
        const std::uint32_t rank =
            routing_configuration::rank_of(matched, &organisation);
        CHECK((previous == 0 || rank > previous));
        previous = rank;
    }
    // Without a priority of the organisation, only the route's counts.
    route urgent;
    route background;
    background.priority = 2;
    const routed_organisation plain;
    CHECK(
        routing_configuration::rank_of(urgent, &plain) <
        routing_configuration::rank_of(background, &plain));
    CHECK(
        routing_configuration::rank_of(urgent, nullptr) ==
        routing_configuration::rank_of(urgent, &plain));
}

// Guards against an inconsistent configuration that is accepted, and against a
// message that doesn't name the object.
TEST_CASE("an invalid configuration is refused with the object in the message")
{
    using change = std::function<void(routing_configuration_builder&)>;
    const auto [label, expected_message, invalidate] =
        GENERATE(table<std::string, std::string, change>({
            {"unknown service", "unknown service \"booking\"",
             [](routing_configuration_builder& b) {
                 b.add_route(make_route("r", "/b/", {{"booking", 1}}));
             }},
            {"same host and prefix", "share host and prefix",
             [](routing_configuration_builder& b)
             { b.add_route(make_route("r", "/a/")); }},
            {"no weight", "weights of route \"r\"",
             [](routing_configuration_builder& b) {
                 b.add_route(make_route("r", "/b/", {{"reports", 0}}));
             }},
            {"no service", "weights of route \"r\"",
             [](routing_configuration_builder& b)
             { b.add_route(make_route("r", "/b/", {})); }},
            {"no timeout", "timeout of route \"r\"",
             [](routing_configuration_builder& b)
             {
                 route added = make_route("r", "/b/");
                 added.timeout = duration{0};
                 b.add_route(added);
             }},
            {"no slash", "slash",
             [](routing_configuration_builder& b)
             { b.add_route(make_route("r", "/b")); }},
            {"shared key", "share an API key",
             [](routing_configuration_builder& b) {
                 b.add_organisation({"other", {"key-2"}, {}});
             }},
            {"service twice", "service \"reports\"",
             [](routing_configuration_builder& b)
             {
                 routed_service service;
                 service.name = "reports";
                 b.add_service(service);
             }},
        }));
    CAPTURE(label);
    auto builder = valid_builder();
    invalidate(builder);
    const auto result = builder.build();
    REQUIRE_FALSE(result.ok());
    CHECK(kind_of(result.status()) == error_kind::ticket_invalid);
    CHECK_THAT(
        std::string{result.status().message()},
        Catch::Contains(expected_message));
}

// Guards against a request that is forwarded by the wrong route.
TEST_CASE("the route with the longest matching prefix of the host is used")
{
    auto builder = valid_builder();
    builder.add_route(make_route("deep", "/a/b/"))
        .add_route(make_route("root", "/"));
    const auto built = builder.build();
    REQUIRE(built.ok());
    const auto [host, path, name] =
        GENERATE(table<std::string, std::string, std::string>({
            {"site.example", "/a/x", "all"},
            {"SITE.example:8080", "/a/b/c", "deep"},
            {"site.example", "/a/bc", "all"},
            {"site.example", "/a", "root"},
            {"site.example", "/ab/", "root"},
            {"other.example", "/a/x", ""},
        }));
    CAPTURE(host, path);
    const route* found = (*built)->find_route(host, path);
    CHECK((found == nullptr ? "" : found->name) == name);
}

// Guards against an API key that authenticates as another organisation.
TEST_CASE("an API key is found only for its organisation")
{
    const auto built = valid_builder().build();
    REQUIRE(built.ok());
    CHECK((*built)->requires_key());
    REQUIRE((*built)->find_organisation("key-2") != nullptr);
    CHECK((*built)->find_organisation("key-2")->name == "diarroi");
    CHECK((*built)->find_organisation("key-3") == nullptr);
    CHECK((*built)->find_organisation("") == nullptr);
}
