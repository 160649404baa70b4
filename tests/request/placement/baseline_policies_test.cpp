#include "request/placement/bounded_hash_policy.hpp"
#include "request/placement/two_choices_policy.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace hickorygap;

namespace
{

std::unique_ptr<placement_policy> make_policy(bool use_bounded_hash)
{
    cell_description description;
    for (backend_server_id id = 1; id <= 4; ++id)
    {
        description.servers.push_back({id, 2, false});
    }
    if (use_bounded_hash)
    {
        return std::make_unique<bounded_hash_policy>(description);
    }
    return std::make_unique<two_choices_policy>(description, 1);
}

placement_query make_query(request_id request, chat_id chat)
{
    placement_query query;
    query.request = request;
    query.chat = chat;
    return query;
}

} // namespace

// Guards against a baseline that looks worse in benchmarks than it is, because
// it uses failed or excluded servers or places all requests on one.
TEST_CASE("baseline policies spread requests over the eligible servers")
{
    const auto policy = make_policy(GENERATE(true, false));
    const time_point now;
    policy->on_backend_health(1, false, now);
    std::map<backend_server_id, int> placed;
    for (request_id request = 1; request <= 90; ++request)
    {
        auto query = make_query(request, request * 7919);
        query.excluded = {2};
        const auto result = policy->place(query, now);
        ++placed[std::get<placement_grant>(result).backend_server];
    }
    CHECK(placed.size() == 2);
    CHECK(placed[3] > 20);
    CHECK(placed[4] > 20);
    auto query = make_query(100, 5);
    query.excluded = {2, 3, 4};
    CHECK(std::holds_alternative<placement_refusal>(policy->place(query, now)));
}

// Guards against a hash policy that does not free the slots of ended requests
// and therefore moves chats to other servers.
TEST_CASE("the bounded hash policy keeps a chat on its server")
{
    const auto policy = make_policy(true);
    const time_point now;
    std::map<backend_server_id, int> placed;
    for (request_id request = 1; request <= 20; ++request)
    {
        const auto grant = std::get<placement_grant>(
            policy->place(make_query(request, 5), now));
        ++placed[grant.backend_server];
        attempt_report report;
        report.request = request;
        policy->release(report, now);
    }
    CHECK(placed.size() == 1);
}
