#include "version/configuration/ticket_text.hpp"

#include "common/address.hpp"
#include "common/json.hpp"
#include "version/configuration/rank_names.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iterator>

namespace hickorygap
{

namespace
{

using text_output = std::back_insert_iterator<std::string>;

void write(text_output out, const service& value)
{
    if (value.kind == service_kind::engine)
    {
        fmt::format_to(
            out, R"({{"kind":"engine","model":{},"adapter":{},"version":{},)",
            json_quote(value.model), json_quote(value.adapter),
            json_quote(value.model_version));
    }
    else
    {
        fmt::format_to(
            out, R"({{"kind":"plain","path":{},"repeatable":{},)",
            json_quote(value.path), value.repeatable);
    }
    fmt::format_to(out, R"("ranks":{{)");
    for (std::size_t i = 0; i < rank_count; ++i)
    {
        const rank_policy& policy = value.ranks.at(i);
        fmt::format_to(
            out, R"({}"{}":{{"target_ms":{},"floor":{}}})", i == 0 ? "" : ",",
            rank_names.at(i), policy.target / std::chrono::milliseconds{1},
            policy.floor);
    }
    fmt::format_to(out, R"(}},"load_bound":{}}})", value.load_bound);
}

void write(text_output out, const backend_server_change& value)
{
    const backend_server& server = value.server;
    fmt::format_to(
        out,
        R"({{"address":"{}","service":{},"failure_domain":{},"slots":{},)"
        R"("state":"{}","checks_fencing":{}}})",
        format_address(server.host, server.port),
        json_quote(value.service_name), json_quote(server.failure_domain),
        server.slots,
        server.state == backend_server_state::serving ? "serving" : "leaving",
        server.checks_fencing);
}

void write(text_output out, const organisation& value)
{
    fmt::format_to(out, R"({{"api_key_digests":[)");
    const char* separator = "";
    for (const digest& key : value.api_key_digests)
    {
        fmt::format_to(out, R"({}"{}")", separator, to_hex(key));
        separator = ",";
    }
    fmt::format_to(
        out, R"(],"highest_rank":"{}","weight":{}}})",
        rank_name(value.highest_rank), value.weight);
}

template <typename Object>
void write_changes(
    text_output out, std::string_view section,
    const ticket::changes<Object>& changes)
{
    if (changes.empty())
    {
        return;
    }
    fmt::format_to(out, R"(,"{}":{{)", section);
    const char* separator = "";
    for (const auto& [name, object] : changes)
    {
        fmt::format_to(out, "{}{}:", separator, json_quote(name));
        separator = ",";
        if (object)
        {
            write(out, *object);
        }
        else
        {
            fmt::format_to(out, "null");
        }
    }
    fmt::format_to(out, "}}");
}

} // namespace

std::string canonical_text(const ticket& source, bool with_comment)
{
    std::string result;
    const text_output out{result};
    fmt::format_to(out, R"({{"ticket":{})", source.document.number);
    if (with_comment && !source.comment.empty())
    {
        fmt::format_to(out, R"(,"comment":{})", json_quote(source.comment));
    }
    write_changes(out, "services", source.services);
    write_changes(out, "backend_servers", source.backend_servers);
    write_changes(out, "organisations", source.organisations);
    if (source.voters)
    {
        fmt::format_to(
            out, R"(,"voters":[{}])", fmt::join(*source.voters, ","));
    }
    result += '}';
    return result;
}

} // namespace hickorygap
