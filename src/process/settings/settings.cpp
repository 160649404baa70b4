#include "process/settings/settings.hpp"

#include "common/json.hpp"
#include "process/settings/settings_table.hpp"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace hickorygap
{

namespace
{

using values_by_key = std::map<std::string, Poco::Dynamic::Var>;

std::string_view to_std_view(absl::string_view text)
{
    return {text.data(), text.size()};
}

absl::Status settings_error(std::string_view text)
{
    return make_error(error_kind::settings_invalid, text);
}

absl::Status parse_into(
    bool& output, const Poco::Dynamic::Var& value, const setting& /*row*/)
{
    const auto result = json_bool(value);
    output = result.value_or(output);
    return result.status();
}

template <typename Integer>
absl::Status parse_integer_into(
    Integer& output, const Poco::Dynamic::Var& value, const setting& row)
{
    const auto result = json_integer(
        value, {static_cast<std::uint64_t>(row.lowest),
                static_cast<std::uint64_t>(row.highest), row.unit});
    if (result.ok())
    {
        output = static_cast<Integer>(*result);
    }
    return result.status();
}

absl::Status parse_into(
    std::uint16_t& output, const Poco::Dynamic::Var& value, const setting& row)
{
    return parse_integer_into(output, value, row);
}

absl::Status parse_into(
    std::uint32_t& output, const Poco::Dynamic::Var& value, const setting& row)
{
    return parse_integer_into(output, value, row);
}

absl::Status parse_into(
    std::uint64_t& output, const Poco::Dynamic::Var& value, const setting& row)
{
    return parse_integer_into(output, value, row);
}

absl::Status parse_into(
    duration& output, const Poco::Dynamic::Var& value, const setting& row)
{
    std::int64_t count = 0;
    absl::Status status = parse_integer_into(count, value, row);
    output = count * duration_unit(row.unit);
    return status;
}

absl::Status
parse_into(double& output, const Poco::Dynamic::Var& value, const setting& row)
{
    const auto result = json_number(value, {row.lowest, row.highest, row.unit});
    output = result.value_or(output);
    return result.status();
}

absl::Status parse_into(
    std::string& output, const Poco::Dynamic::Var& value, const setting& row)
{
    auto result = json_string(value);
    if (!result.ok())
    {
        return result.status();
    }
    if (row.format == text_format::ip_number && !is_ip_number(*result))
    {
        return settings_error(fmt::format(
            "must be an IP number such as 127.0.0.1; it is \"{}\"", *result));
    }
    if (result->empty() && row.default_json.empty())
    {
        return settings_error("must not be empty; this key has no default");
    }
    output = *std::move(result);
    return absl::OkStatus();
}

absl::Status parse_into(
    digest& output, const Poco::Dynamic::Var& value, const setting& /*row*/)
{
    const auto text = json_string(value);
    const auto result = text.ok() ? parse_digest(*text) : std::nullopt;
    if (!result)
    {
        return settings_error(
            "must be a SHA-256 digest of 64 hexadecimal digits; "
            "compute it with: printf %s TOKEN | sha256sum");
    }
    output = *result;
    return absl::OkStatus();
}

absl::Status parse_into(
    log_level& output, const Poco::Dynamic::Var& value, const setting& /*row*/)
{
    static const std::map<std::string, log_level> levels{
        {"debug", log_level::debug},
        {"info", log_level::info},
        {"warning", log_level::warning},
        {"error", log_level::error}};
    const auto text = json_string(value);
    const auto found = levels.find(text.value_or(""));
    if (found == levels.end())
    {
        return settings_error(fmt::format(
            "must be debug, info, warning or error; it is {}",
            json_excerpt(value)));
    }
    output = found->second;
    return absl::OkStatus();
}

absl::StatusOr<Poco::JSON::Array::Ptr>
json_array(const Poco::Dynamic::Var& value)
{
    if (value.type() != typeid(Poco::JSON::Array::Ptr))
    {
        return settings_error(
            fmt::format("must be a list; it is {}", json_excerpt(value)));
    }
    return value.extract<Poco::JSON::Array::Ptr>();
}

absl::StatusOr<instance_id> json_instance_id(const Poco::Dynamic::Var& value)
{
    const auto result =
        json_integer(value, {1, std::numeric_limits<instance_id>::max(), ""});
    if (!result.ok())
    {
        return result.status();
    }
    return static_cast<instance_id>(*result);
}

absl::Status parse_into(
    std::vector<instance_id>& output, const Poco::Dynamic::Var& value,
    const setting& /*row*/)
{
    const auto array = json_array(value);
    if (!array.ok())
    {
        return array.status();
    }
    output.clear();
    for (const Poco::Dynamic::Var& entry : **array)
    {
        const auto id = json_instance_id(entry);
        if (!id.ok())
        {
            return id.status();
        }
        output.push_back(*id);
    }
    std::sort(output.begin(), output.end());
    if (std::adjacent_find(output.begin(), output.end()) != output.end())
    {
        return settings_error("names an instance twice; remove the duplicate");
    }
    return absl::OkStatus();
}

absl::StatusOr<peer_seed> json_seed(const Poco::Dynamic::Var& value)
{
    if (value.type() != typeid(Poco::JSON::Object::Ptr))
    {
        return settings_error(fmt::format(
            "must hold objects such as {{\"id\": 1, \"address\": "
            "\"127.0.0.1:8082\"}}; one entry is {}",
            json_excerpt(value)));
    }
    const auto& object = value.extract<Poco::JSON::Object::Ptr>();
    json_object_reader reader{*object, "has an entry whose "};
    peer_seed result;
    std::uint64_t id = 0;
    std::string address;
    reader.read("id", id, {1, std::numeric_limits<instance_id>::max(), ""});
    reader.read("address", address);
    result.id = static_cast<instance_id>(id);
    const auto parsed = parse_address(address);
    if (parsed.ok())
    {
        result.address = *parsed;
    }
    else
    {
        reader.fail("address", to_std_view(parsed.status().message()));
    }
    if (id == 0)
    {
        reader.fail("id", "is missing");
    }
    if (auto status = reader.finish(error_kind::settings_invalid); !status.ok())
    {
        return status;
    }
    return result;
}

absl::Status parse_into(
    std::vector<peer_seed>& output, const Poco::Dynamic::Var& value,
    const setting& /*row*/)
{
    const auto array = json_array(value);
    if (!array.ok())
    {
        return array.status();
    }
    output.clear();
    for (const Poco::Dynamic::Var& entry : **array)
    {
        auto seed = json_seed(entry);
        if (!seed.ok())
        {
            return seed.status();
        }
        output.push_back(*std::move(seed));
    }
    return absl::OkStatus();
}

absl::Status parse_value_into(
    settings& output, const Poco::Dynamic::Var& value, const setting& row)
{
    absl::Status status = std::visit(
        [&](auto member) { return parse_into(member(output), value, row); },
        row.member);
    if (status.ok())
    {
        return status;
    }
    return settings_error(
        fmt::format("{} {}", row.key, to_std_view(status.message())));
}

// Adds the leaves of nested objects to `output` under their dotted paths.
void flatten(
    const Poco::JSON::Object& object, const std::string& prefix,
    values_by_key& output)
{
    for (const auto& [key, value] : object)
    {
        // An empty object counts as a leaf, so that check_known_keys reports it
        // when its key is unknown.
        if (value.type() == typeid(Poco::JSON::Object::Ptr) &&
            value.extract<Poco::JSON::Object::Ptr>()->size() > 0)
        {
            flatten(
                *value.extract<Poco::JSON::Object::Ptr>(), prefix + key + ".",
                output);
        }
        else
        {
            output.emplace(prefix + key, value);
        }
    }
}

absl::Status check_known_keys(const values_by_key& values)
{
    std::vector<std::string_view> known;
    for (const setting& row : settings_table())
    {
        known.push_back(row.key);
    }
    for (const auto& [key, value] : values)
    {
        const bool is_known_empty_group =
            value.type() == typeid(Poco::JSON::Object::Ptr) &&
            std::any_of(
                known.begin(), known.end(),
                [&, &group = key](std::string_view candidate)
                { return candidate.starts_with(group + "."); });
        if (!is_known_empty_group &&
            std::find(known.begin(), known.end(), key) == known.end())
        {
            return settings_error(fmt::format(
                "{} is no known key; the nearest known key is {}", key,
                nearest_name(key, known)));
        }
    }
    return absl::OkStatus();
}

Poco::Dynamic::Var default_value(const setting& row)
{
    const auto object = parse_json_object(
        fmt::format("{{\"value\": {}}}", row.default_json),
        error_kind::settings_invalid);
    return (*object)->get("value");
}

absl::Status check_tls(const tls_settings& tls, std::string_view name)
{
    if (tls.certificate_file.empty() != tls.key_file.empty())
    {
        return settings_error(fmt::format(
            "only one of {0}.tls.certificate_file and {0}.tls.key_file is "
            "set; set both or neither",
            name));
    }
    return absl::OkStatus();
}

absl::Status check_voters(const settings& checked)
{
    const bool votes = std::binary_search(
        checked.voters.begin(), checked.voters.end(), checked.instance.id);
    if (votes && checked.data_folder.empty())
    {
        return settings_error(
            "data_folder is empty, but this instance is among the "
            "voters; set it to a folder on persistent storage");
    }
    if (checked.bootstrap && !votes)
    {
        return settings_error(
            "bootstrap is true, but this instance is not among the "
            "voters; add its id to voters or remove bootstrap");
    }
    return absl::OkStatus();
}

absl::Status check_seeds(const settings& checked)
{
    for (std::size_t i = 0; i < checked.peers.seeds.size(); ++i)
    {
        for (std::size_t j = 0; j < i; ++j)
        {
            if (checked.peers.seeds[i].id == checked.peers.seeds[j].id)
            {
                return settings_error(fmt::format(
                    "peers.seeds names instance {} twice; remove the duplicate",
                    checked.peers.seeds[i].id));
            }
        }
    }
    return absl::OkStatus();
}

} // namespace

settings::settings()
    : instance{}
    , callers{}
    , operators{}
    , peers{}
    , bootstrap{false}
    , shutdown{}
    , freshness{}
    , log{}
    , decision_record{}
    , placement{}
    , monitor{}
    , idempotency{}
    , slo{}
    , test{}
{
    for (const setting& row : settings_table())
    {
        if (!row.default_json.empty())
        {
            // The defaults are constants; settings_test checks that they parse.
            parse_value_into(*this, default_value(row), row).IgnoreError();
        }
    }
}

absl::StatusOr<settings> parse_settings(std::string_view text)
{
    const auto object = parse_json_object(text, error_kind::settings_invalid);
    if (!object.ok())
    {
        return object.status();
    }
    values_by_key values;
    flatten(**object, "", values);
    absl::Status status = check_known_keys(values);
    settings result;
    for (const setting& row : settings_table())
    {
        const auto found = values.find(std::string{row.key});
        if (found != values.end())
        {
            status.Update(parse_value_into(result, found->second, row));
        }
        else if (row.default_json.empty())
        {
            status.Update(settings_error(fmt::format(
                "{} is missing; add it to the settings file: {}", row.key,
                row.description)));
        }
    }
    status.Update(check_tls(result.callers.tls, "callers"));
    status.Update(check_tls(result.operators.tls, "operators"));
    status.Update(check_voters(result));
    status.Update(check_seeds(result));
    if (!status.ok())
    {
        return status;
    }
    if (result.instance.name.empty())
    {
        result.instance.name = fmt::format("instance-{}", result.instance.id);
    }
    return result;
}

absl::StatusOr<settings> load_settings(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
    {
        return settings_error(fmt::format(
            "the settings file {} can't be read; check the path and the "
            "permissions",
            path));
    }
    auto result = parse_settings(text.str());
    if (!result.ok())
    {
        return settings_error(fmt::format(
            "{}: {}", path, to_std_view(result.status().message())));
    }
    return result;
}

} // namespace hickorygap
