#include "process/fleet_settings/fleet_settings.hpp"

#include "common/error.hpp"
#include "common/json.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <fstream>
#include <iterator>

namespace hickorygap
{

namespace
{

constexpr std::uint64_t highest_port = 65535;

// Feature that turns on all of overload.
constexpr std::string_view pressure_feature = "pressure";

// Feature that turns on storage.survives_domain_loss.
constexpr std::string_view failure_domains_feature = "places";

// Allowed ranges of the numbers, with the units that error messages state.
const number_range<std::uint64_t> port_range{0, highest_port, ""};
const number_range<std::uint64_t> disk_range{0, 10, "disks"};
const number_range<double> rate_range{0.01, 1e6, "calls per second"};
const number_range<double> link_range{0.01, 1e6, "Mbit/s"};
const number_range<double> ratio_range{0, 10, "repeats per request"};
const number_range<double> slack_range{0, 1e6, "repeats"};
const number_range<std::uint64_t> memory_range{32, 1U << 24U, "MiB"};
const number_range<std::uint64_t> descriptor_range{
    64, 1U << 24U, "descriptors"};
const number_range<double> seconds_range{0.1, 3600, "s"};

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{value});
}

// Reads "host:port"; an empty text leaves the address empty.
void read_address(
    json_object_reader& reader, std::string_view key, numeric_address& output)
{
    std::string text;
    reader.read(key, text);
    if (text.empty())
    {
        return;
    }
    const auto address = parse_address(text);
    if (!address.ok())
    {
        reader.fail(
            key, {address.status().message().data(),
                  address.status().message().size()});
        return;
    }
    output = *address;
}

void read_port(
    json_object_reader& reader, std::string_view key, std::uint16_t& output)
{
    std::uint64_t port = output;
    reader.read(key, port, port_range);
    output = static_cast<std::uint16_t>(port);
}

void read_seeds(json_object_reader& reader, std::vector<std::string>& output)
{
    const auto seeds = reader.take_array("seeds");
    if (!seeds)
    {
        return;
    }
    for (const auto& item : *seeds)
    {
        const auto text = json_string(item);
        if (!text.ok())
        {
            reader.fail(
                "seeds", "must be a list of strings, each an IPv4 address");
            return;
        }
        const auto address = parse_address(*text);
        const std::string host = address.ok() ? address->host : *text;
        if (instance_at(host) == 0)
        {
            reader.fail(
                "seeds", fmt::format(
                             "contains \"{}\"; each seed must be an IPv4 "
                             "address, with or without a port",
                             *text));
            return;
        }
        output.push_back(host);
    }
}

// Reads the names of optional behaviours; those that are not known are ignored.
void read_features(json_object_reader& reader, fleet_settings& output)
{
    const auto features = reader.take_array("features");
    if (!features)
    {
        return;
    }
    for (const auto& item : *features)
    {
        const auto name = json_string(item);
        if (!name.ok())
        {
            reader.fail("features", "must be a list of strings");
            return;
        }
        if (*name == pressure_feature)
        {
            output.overload.by_work = true;
            output.overload.wait_at_start = true;
        }
        if (*name == failure_domains_feature)
        {
            output.storage.survives_domain_loss = true;
        }
    }
}

// Reads one object of the file with a function, and reports keys of it that the
// function does not read.
template <typename Function>
void read_section(
    json_object_reader& file, std::string_view key, Function function)
{
    const auto object = file.take_object(key);
    if (!object)
    {
        return;
    }
    json_object_reader reader{*object, fmt::format("{}.", key)};
    function(reader);
    file.fail(reader.finish(error_kind::settings_invalid));
}

} // namespace

instance_id instance_at(std::string_view host)
{
    in_addr address{};
    return is_ip_number(host) &&
                   ::inet_pton(AF_INET, std::string{host}.c_str(), &address) ==
                       1
               ? ntohl(address.s_addr)
               : 0;
}

std::string host_of(instance_id instance)
{
    in_addr address{};
    address.s_addr = htonl(instance);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address, text.data(), text.size());
    return text.data();
}

absl::StatusOr<fleet_settings> parse_fleet_settings(std::string_view text)
{
    const auto object = parse_json_object(text, error_kind::settings_invalid);
    if (!object.ok())
    {
        return object.status();
    }
    fleet_settings result;
    json_object_reader file{**object, ""};
    read_section(
        file, "instance",
        [&](json_object_reader& reader)
        {
            reader.read("name", result.instance.name);
            reader.read("host", result.instance.host);
            reader.read("failure_domain", result.instance.failure_domain);
            if (instance_at(result.instance.host) == 0)
            {
                reader.fail(
                    "host", "must be the IPv4 address of this machine, such as "
                            "10.1.0.22");
            }
        });
    read_section(
        file, "callers",
        [&](json_object_reader& reader)
        { read_address(reader, "address", result.callers); });
    read_section(
        file, "readiness",
        [&](json_object_reader& reader)
        { read_address(reader, "address", result.readiness); });
    read_section(
        file, "operators",
        [&](json_object_reader& reader)
        { read_address(reader, "address", result.operators); });
    read_section(
        file, "peers",
        [&](json_object_reader& reader)
        {
            read_port(reader, "port", result.peers.port);
            read_seeds(reader, result.peers.seeds);
            reader.read(
                "link_megabits_per_second",
                result.peers.link_megabits_per_second, link_range);
        });
    read_section(
        file, "metrics",
        [&](json_object_reader& reader)
        { read_port(reader, "port", result.metrics.port); });
    read_section(
        file, "storage",
        [&](json_object_reader& reader)
        {
            std::uint64_t lost_disks = 0;
            reader.read("folder", result.storage.folder);
            reader.read("bootstrap", result.storage.bootstrap);
            reader.read("lost_disks", lost_disks, disk_range);
            result.storage.lost_disks = static_cast<std::uint32_t>(lost_disks);
            reader.read(
                "survives_domain_loss", result.storage.survives_domain_loss);
        });
    read_section(
        file, "backend_list",
        [&](json_object_reader& reader)
        {
            read_address(reader, "address", result.backend_list.address);
            reader.read(
                "calls_per_second", result.backend_list.calls_per_second,
                rate_range);
        });
    read_section(
        file, "retry",
        [&](json_object_reader& reader)
        {
            double window =
                std::chrono::duration<double>(result.retry.window).count();
            reader.read("ratio", result.retry.ratio, ratio_range);
            reader.read("slack", result.retry.slack, slack_range);
            reader.read("window_s", window, seconds_range);
            result.retry.window = seconds(window);
        });
    read_section(
        file, "overload",
        [&](json_object_reader& reader)
        {
            reader.read("by_work", result.overload.by_work);
            reader.read("wait_at_start", result.overload.wait_at_start);
            read_features(reader, result);
        });
    read_section(
        file, "machine",
        [&](json_object_reader& reader)
        {
            constexpr std::uint64_t bytes_per_megabyte = 1U << 20U;
            std::uint64_t memory = 0;
            reader.read("memory_mb", memory, memory_range);
            reader.read(
                "descriptors", result.machine.descriptors, descriptor_range);
            result.machine.memory_bytes = memory * bytes_per_megabyte;
        });
    read_section(
        file, "shutdown",
        [&](json_object_reader& reader)
        {
            double limit =
                std::chrono::duration<double>(result.shutdown.limit).count();
            reader.read("limit_s", limit, seconds_range);
            result.shutdown.limit = seconds(limit);
        });
    if (absl::Status status = file.finish(error_kind::settings_invalid);
        !status.ok())
    {
        return status;
    }
    if (result.instance.host.empty())
    {
        return make_error(
            error_kind::settings_invalid,
            "instance.host is missing; set it to the IPv4 address of this "
            "machine");
    }
    return result;
}

absl::StatusOr<fleet_settings> load_fleet_settings(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "can't open the settings file {}; check its path and its "
                "permissions",
                path));
    }
    const std::string text{
        std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    return parse_fleet_settings(text);
}

} // namespace hickorygap
