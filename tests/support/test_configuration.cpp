#include "support/test_configuration.hpp"

#include "version/configuration/configuration_builder.hpp"

#include <fmt/format.h>

#include <stdexcept>

namespace hickorygap::testing
{

namespace
{

std::string make_ticket_text(const std::vector<test_server>& servers)
{
    std::string entries;
    for (const test_server& each : servers)
    {
        entries += fmt::format(
            R"({}"{}": {{"address": "127.0.0.1:{}", "service": "{}",
 "failure_domain": "zone-1"}})",
            entries.empty() ? "" : ",", each.name, each.port, each.service);
    }
    return fmt::format(
        R"({{"ticket": 1,
"services": {{
 "report-7b": {{"kind": "engine", "model": "report-7b", "version": "1"}},
 "calculator": {{"kind": "plain", "path": "/calculator",
  "ranks": {{"background": {{"target_ms": 1}}}}}},
 "booking": {{"kind": "plain", "path": "/booking", "repeatable": false}}}},
"backend_servers": {{{}}},
"organisations": {{
 "diarroi": {{"api_key_digests": ["{}"], "highest_rank": "urgent"}},
 "tenant": {{"api_key_digests": ["{}"], "highest_rank": "normal"}}}}}})",
        entries, to_hex(sha256("key-diarroi")), to_hex(sha256("key-tenant")));
}

} // namespace

configuration_ptr make_test_configuration(std::vector<test_server> servers)
{
    const auto checked = check_ticket(make_ticket_text(servers), nullptr);
    if (!checked.ok())
    {
        throw std::invalid_argument{std::string{checked.status().message()}};
    }
    return checked->result;
}

} // namespace hickorygap::testing
