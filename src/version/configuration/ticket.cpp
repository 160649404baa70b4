#include "version/configuration/ticket.hpp"

#include "common/address.hpp"
#include "common/json.hpp"
#include "version/configuration/rank_names.hpp"
#include "version/configuration/ticket_text.hpp"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cctype>

namespace hickorygap
{

namespace
{

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_text_bytes = 1024;
constexpr std::uint64_t max_ticket_number = 1'000'000'000;
constexpr std::uint64_t max_target_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_slots = 100'000;

// A rank's floor reduces the capacity of the other ranks, so it must stay
// below 1.
constexpr double max_floor = 0.99;
constexpr double max_load_bound = 16.0;
constexpr double min_weight = 0.001;
constexpr double max_weight = 1'000'000.0;

// Bounds the memory that one organisation takes, with room for key rotation.
constexpr std::size_t max_api_keys = 64;

// Odd, because an even number of voters needs a larger majority without
// tolerating more failures. Fleets are planned with 7 voters; the rest is
// headroom for replacing them one at a time.
constexpr std::size_t max_voters = 9;

std::string_view to_string_view(absl::string_view text)
{
    return {text.data(), text.size()};
}

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(
               name.begin(), name.end(),
               [](char c)
               {
                   return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                          c == '.' || c == '_' || c == '-';
               });
}

// Reads an optional member whose value must be one of the names in `choices`.
template <typename Value, std::size_t Count>
void read_enum(
    json_object_reader& reader, std::string_view key,
    const std::array<std::pair<std::string_view, Value>, Count>& choices,
    Value& output)
{
    std::string text;
    const bool present = reader.has(key);
    reader.read(key, text);
    if (!present)
    {
        return;
    }
    std::vector<std::string_view> names;
    for (const auto& [name, value] : choices)
    {
        if (name == text)
        {
            output = value;
            return;
        }
        names.push_back(name);
    }
    reader.fail(
        key,
        fmt::format(
            "must be one of {}; it is \"{}\"", fmt::join(names, ", "), text));
}

void read_text(
    json_object_reader& reader, std::string_view key, std::string& output)
{
    reader.read(key, output);
    if (output.size() > max_text_bytes)
    {
        reader.fail(
            key, fmt::format("must have at most {} bytes", max_text_bytes));
    }
    const auto is_control = [](unsigned char c)
    { return std::iscntrl(c) != 0; };
    if (std::any_of(output.begin(), output.end(), is_control))
    {
        reader.fail(key, "holds control characters; remove them");
    }
}

void require_nonempty(
    json_object_reader& reader, std::string_view key, std::string_view value,
    std::string_view remedy)
{
    if (value.empty())
    {
        reader.fail(key, fmt::format("is missing or empty; {}", remedy));
    }
}

void read_rank_policy(
    json_object_reader& ranks, const std::string& path, std::string_view name,
    rank_policy& output)
{
    const Poco::JSON::Object::Ptr object = ranks.take_object(name);
    if (!object)
    {
        return;
    }
    json_object_reader reader{*object, fmt::format("{}{}.", path, name)};
    auto target = static_cast<std::uint64_t>(
        output.target / std::chrono::milliseconds{1});
    reader.read("target_ms", target, {1, max_target_ms, "ms"});
    output.target = std::chrono::milliseconds{target};
    reader.read("floor", output.floor, {0.0, max_floor, ""});
    ranks.fail(reader.finish(error_kind::ticket_invalid));
}

void read_ranks(
    json_object_reader& parent, const std::string& path, service& output)
{
    const Poco::JSON::Object::Ptr object = parent.take_object("ranks");
    if (!object)
    {
        return;
    }
    const std::string ranks_path = path + "ranks.";
    json_object_reader reader{*object, ranks_path};
    double floor_sum = 0.0;
    for (std::size_t i = 0; i < rank_count; ++i)
    {
        rank_policy& policy = output.ranks.at(i);
        read_rank_policy(reader, ranks_path, rank_names.at(i), policy);
        floor_sum += policy.floor;
    }
    parent.fail(reader.finish(error_kind::ticket_invalid));
    if (floor_sum >= 1.0)
    {
        parent.fail(
            "ranks", fmt::format(
                         "have floors that add up to {}; lower them until the "
                         "sum is below 1",
                         floor_sum));
    }
}

absl::StatusOr<service> read_object(
    const Poco::JSON::Object& object, const std::string& name,
    const std::string& path, const service* /*kind*/)
{
    json_object_reader reader{object, path};
    service result;
    result.id = hash_name(name);
    result.name = name;
    constexpr std::array kinds{
        std::pair{std::string_view{"engine"}, service_kind::engine},
        std::pair{std::string_view{"plain"}, service_kind::plain}};
    if (!reader.has("kind"))
    {
        reader.fail("kind", "is missing; write \"engine\" or \"plain\"");
    }
    read_enum(reader, "kind", kinds, result.kind);
    if (result.kind == service_kind::engine)
    {
        read_text(reader, "model", result.model);
        read_text(reader, "adapter", result.adapter);
        read_text(reader, "version", result.model_version);
        require_nonempty(
            reader, "model", result.model,
            "write the model name that callers send");
    }
    else
    {
        read_text(reader, "path", result.path);
        reader.read("repeatable", result.repeatable);
        if (!result.path.starts_with('/'))
        {
            reader.fail("path", "must start with /");
        }
    }
    read_ranks(reader, path, result);
    reader.read("load_bound", result.load_bound, {1.0, max_load_bound, ""});
    if (const auto status = reader.finish(error_kind::ticket_invalid);
        !status.ok())
    {
        return status;
    }
    return result;
}

absl::StatusOr<backend_server_change> read_object(
    const Poco::JSON::Object& object, const std::string& name,
    const std::string& path, const backend_server_change* /*kind*/)
{
    json_object_reader reader{object, path};
    backend_server_change result;
    backend_server& server = result.server;
    server.id = hash_name(name);
    server.name = name;
    std::string address;
    reader.read("address", address);
    if (auto parsed = parse_address(address); parsed.ok())
    {
        server.host = parsed->host;
        server.port = parsed->port;
    }
    else
    {
        reader.fail("address", to_string_view(parsed.status().message()));
    }
    read_text(reader, "service", result.service_name);
    require_nonempty(
        reader, "service", result.service_name,
        "write the name of the service that it runs");
    server.service = hash_name(result.service_name);
    read_text(reader, "failure_domain", server.failure_domain);
    require_nonempty(
        reader, "failure_domain", server.failure_domain,
        "write the zone that it runs in");
    std::uint64_t slots = server.slots;
    reader.read("slots", slots, {1, max_slots, "requests"});
    server.slots = static_cast<std::uint32_t>(slots);
    constexpr std::array states{
        std::pair{std::string_view{"serving"}, backend_server_state::serving},
        std::pair{std::string_view{"leaving"}, backend_server_state::leaving}};
    read_enum(reader, "state", states, server.state);
    reader.read("checks_fencing", server.checks_fencing);
    if (const auto status = reader.finish(error_kind::ticket_invalid);
        !status.ok())
    {
        return status;
    }
    return result;
}

void read_api_keys(json_object_reader& reader, std::vector<digest>& output)
{
    const Poco::JSON::Array::Ptr keys = reader.take_array("api_key_digests");
    if (!keys)
    {
        return;
    }
    if (keys->size() > max_api_keys)
    {
        reader.fail(
            "api_key_digests",
            fmt::format("must have at most {} entries", max_api_keys));
        return;
    }
    for (const Poco::Dynamic::Var& value : *keys)
    {
        const auto text = json_string(value);
        const auto key = text.ok() ? parse_digest(*text) : std::nullopt;
        if (!key)
        {
            reader.fail(
                "api_key_digests",
                "must contain SHA-256 digests of 64 hexadecimal digits; make "
                "one with: printf %s KEY | sha256sum");
            return;
        }
        output.push_back(*key);
    }
    std::sort(output.begin(), output.end());
    if (std::adjacent_find(output.begin(), output.end()) != output.end())
    {
        reader.fail(
            "api_key_digests",
            "contain the same digest twice; remove one of the two");
    }
}

absl::StatusOr<organisation> read_object(
    const Poco::JSON::Object& object, const std::string& name,
    const std::string& path, const organisation* /*kind*/)
{
    json_object_reader reader{object, path};
    organisation result;
    result.id = hash_name(name);
    result.name = name;
    read_api_keys(reader, result.api_key_digests);
    constexpr std::array ranks{
        std::pair{rank_names[0], rank::urgent},
        std::pair{rank_names[1], rank::normal},
        std::pair{rank_names[2], rank::background}};
    read_enum(reader, "highest_rank", ranks, result.highest_rank);
    reader.read("weight", result.weight, {min_weight, max_weight, ""});
    if (const auto status = reader.finish(error_kind::ticket_invalid);
        !status.ok())
    {
        return status;
    }
    return result;
}

template <typename Object>
void read_changes(
    json_object_reader& reader, std::string_view section,
    ticket::changes<Object>& output)
{
    const Poco::JSON::Object::Ptr objects = reader.take_object(section);
    if (!objects)
    {
        return;
    }
    for (const auto& [name, value] : *objects)
    {
        const std::string path = fmt::format("{}.{}.", section, name);
        if (!is_valid_name(name))
        {
            reader.fail(
                section, fmt::format(
                             "contains the invalid name {}; use 1 to {} "
                             "letters, digits, dots, hyphens and underscores",
                             json_quote(name), max_name_bytes));
            return;
        }
        if (value.isEmpty())
        {
            output.emplace(name, std::nullopt);
            continue;
        }
        if (value.type() != typeid(Poco::JSON::Object::Ptr))
        {
            reader.fail(
                section, fmt::format(
                             "must contain an object or null for {}; it is {}",
                             json_quote(name), json_excerpt(value)));
            return;
        }
        const Poco::JSON::Object::Ptr members =
            value.template extract<Poco::JSON::Object::Ptr>();
        auto object = read_object(
            *members, name, path, static_cast<const Object*>(nullptr));
        if (!object.ok())
        {
            reader.fail(object.status());
            return;
        }
        output.emplace(name, *std::move(object));
    }
}

void read_voters(
    json_object_reader& reader, std::optional<std::vector<instance_id>>& output)
{
    const Poco::JSON::Array::Ptr values = reader.take_array("voters");
    if (!values)
    {
        return;
    }
    std::vector<instance_id> voters;
    for (const Poco::Dynamic::Var& value : *values)
    {
        const auto id = json_integer(
            value, {1, std::numeric_limits<instance_id>::max(), ""});
        if (!id.ok())
        {
            reader.fail("voters", to_string_view(id.status().message()));
            return;
        }
        voters.push_back(static_cast<instance_id>(*id));
    }
    std::sort(voters.begin(), voters.end());
    if (std::adjacent_find(voters.begin(), voters.end()) != voters.end())
    {
        reader.fail(
            "voters", "contain the same instance twice; remove one of the two");
    }
    if (voters.empty() || voters.size() > max_voters)
    {
        reader.fail(
            "voters",
            fmt::format("must name from 1 to {} instances", max_voters));
    }
    output = std::move(voters);
}

} // namespace

absl::StatusOr<ticket> parse_ticket(std::string_view text)
{
    if (text.size() > max_ticket_bytes)
    {
        return make_error(
            error_kind::ticket_invalid,
            fmt::format(
                "the ticket has {} bytes and the limit is {}; split it into "
                "several tickets",
                text.size(), max_ticket_bytes));
    }
    const auto object = parse_json_object(text, error_kind::ticket_invalid);
    if (!object.ok())
    {
        return object.status();
    }
    json_object_reader reader{**object, ""};
    ticket result;
    if (!reader.has("ticket"))
    {
        reader.fail(
            "ticket", "is missing; write the next free number, see "
                      "hickorygap ticket list");
    }
    reader.read("ticket", result.document.number, {1, max_ticket_number, ""});
    read_text(reader, "comment", result.comment);
    read_changes(reader, "services", result.services);
    read_changes(reader, "backend_servers", result.backend_servers);
    read_changes(reader, "organisations", result.organisations);
    read_voters(reader, result.voters);
    if (auto status = reader.finish(error_kind::ticket_invalid); !status.ok())
    {
        return status;
    }
    const std::string content = canonical_text(result, false);
    result.document.content_digest = sha256(content);
    result.document.text =
        result.comment.empty() ? content : canonical_text(result, true);
    if (result.document.text.size() > max_ticket_bytes)
    {
        return make_error(
            error_kind::ticket_invalid,
            fmt::format(
                "the ticket has {} bytes with all defaults written out and "
                "the limit is {}; split it into several tickets",
                result.document.text.size(), max_ticket_bytes));
    }
    return result;
}

} // namespace hickorygap
