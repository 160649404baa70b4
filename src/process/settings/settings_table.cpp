#include "process/settings/settings_table.hpp"

#include "common/json.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>

namespace hickorygap
{

namespace
{

// Range bounds shared by several keys.
constexpr double max_port = 65535;
constexpr double max_instance_id = 4294967295.0;
constexpr double hour_ms = 3'600'000;
constexpr double mebibyte = 1024.0 * 1024.0;
constexpr double gibibyte = 1024.0 * mebibyte;

// Only the body of a non-repeatable call is also bounded by the 1 MiB frames
// between peers. 64 MiB is far above the size of any prompt.
constexpr double max_body_bytes = 64 * mebibyte;

// Accessor of a member of settings. The unary plus converts the lambda to a
// function pointer, whose type selects the alternative of setting_member.
#define HICKORYGAP_MEMBER(path)                                                \
    (+[](settings& s) -> decltype((s.path)) { return s.path; })

const std::array table{
    setting{
        "instance.id", HICKORYGAP_MEMBER(instance.id), "",
        "Number of this instance, unique in the fleet.", "", 1,
        max_instance_id},
    setting{
        "instance.name", HICKORYGAP_MEMBER(instance.name), "\"\"",
        "Name in logs and reports; instance-<id> when empty."},
    setting{
        "instance.failure_domain", HICKORYGAP_MEMBER(instance.failure_domain),
        "", "Zone that this instance runs in."},
    setting{
        "callers.host", HICKORYGAP_MEMBER(callers.host), "\"127.0.0.1\"",
        "IP number to listen on for callers.", "", 0, 0,
        text_format::ip_number},
    setting{
        "callers.port", HICKORYGAP_MEMBER(callers.port), "8080",
        "Port for callers; 0 lets the system choose.", "", 0, max_port},
    setting{
        "callers.threads", HICKORYGAP_MEMBER(callers.threads), "64",
        "Requests served concurrently.", "threads", 1, 4096},
    setting{
        "callers.limits.header_bytes",
        HICKORYGAP_MEMBER(callers.limits.header_bytes), "16384",
        "Largest header block of a request.", "bytes", 1024, mebibyte},
    setting{
        "callers.limits.body_bytes",
        HICKORYGAP_MEMBER(callers.limits.body_bytes), "4194304",
        "Largest body of a request.", "bytes", 1024, max_body_bytes},
    setting{
        "callers.limits.header_timeout_ms",
        HICKORYGAP_MEMBER(callers.limits.header_timeout), "10000",
        "Time limit for receiving a whole header block.", "ms", 100, hour_ms},
    setting{
        "callers.limits.body_timeout_ms",
        HICKORYGAP_MEMBER(callers.limits.body_timeout), "30000",
        "Time limit for receiving a whole body.", "ms", 100, hour_ms},
    setting{
        "callers.limits.idle_timeout_ms",
        HICKORYGAP_MEMBER(callers.limits.idle_timeout), "60000",
        "Time after which an idle connection is closed.", "ms", 100, hour_ms},
    setting{
        "callers.limits.organisation_streams",
        HICKORYGAP_MEMBER(callers.limits.organisation_streams), "48",
        "Requests of one organisation served concurrently by this instance; "
        "keep "
        "it below callers.threads.",
        "requests", 1, 4096},
    setting{
        "callers.tls.certificate_file",
        HICKORYGAP_MEMBER(callers.tls.certificate_file), "\"\"",
        "PEM file with the certificate chain; TLS is off when empty."},
    setting{
        "callers.tls.key_file", HICKORYGAP_MEMBER(callers.tls.key_file), "\"\"",
        "PEM file with the private key."},
    setting{
        "operators.host", HICKORYGAP_MEMBER(operators.host), "\"127.0.0.1\"",
        "IP number to listen on for operators.", "", 0, 0,
        text_format::ip_number},
    setting{
        "operators.port", HICKORYGAP_MEMBER(operators.port), "8081",
        "Port for operators; 0 lets the system choose.", "", 0, max_port},
    setting{
        "operators.token_digest", HICKORYGAP_MEMBER(operators.token_digest), "",
        "SHA-256 of the operators' bearer token, hexadecimal."},
    setting{
        "operators.tls.certificate_file",
        HICKORYGAP_MEMBER(operators.tls.certificate_file), "\"\"",
        "PEM file with the certificate chain; TLS is off when empty."},
    setting{
        "operators.tls.key_file", HICKORYGAP_MEMBER(operators.tls.key_file),
        "\"\"", "PEM file with the private key."},
    setting{
        "peers.host", HICKORYGAP_MEMBER(peers.host), "\"127.0.0.1\"",
        "IP number that the other instances reach.", "", 0, 0,
        text_format::ip_number},
    setting{
        "peers.port", HICKORYGAP_MEMBER(peers.port), "8082",
        "Port for the other instances.", "", 1, max_port},
    setting{
        "peers.fleet_key_file", HICKORYGAP_MEMBER(peers.fleet_key_file), "",
        "File with the key that all instances of the fleet share."},
    setting{
        "peers.seeds", HICKORYGAP_MEMBER(peers.seeds), "[]",
        "Instances contacted first to join the fleet: [{\"id\": 1, "
        "\"address\": "
        "\"127.0.0.1:8082\"}]."},
    setting{
        "voters", HICKORYGAP_MEMBER(voters), "[]",
        "Instances that vote until a ticket names others."},
    setting{
        "bootstrap", HICKORYGAP_MEMBER(bootstrap), "false",
        "Starts a new fleet with an empty log when there is none."},
    setting{
        "data_folder", HICKORYGAP_MEMBER(data_folder), "\"\"",
        "Folder for all persistent state; empty for an instance without a "
        "disk."},
    setting{
        "shutdown.balancer_lag_ms", HICKORYGAP_MEMBER(shutdown.balancer_lag),
        "5000", "Time until the load balancer sends no new connections.", "ms",
        0, hour_ms},
    setting{
        "shutdown.drain_limit_ms", HICKORYGAP_MEMBER(shutdown.drain_limit),
        "600000", "Time limit for draining requests in flight at shutdown.",
        "ms", 0, 24 * hour_ms},
    setting{
        "freshness_ms", HICKORYGAP_MEMBER(freshness), "10000",
        "Time without contact after which new requests are refused.", "ms", 100,
        hour_ms},
    setting{
        "log.level", HICKORYGAP_MEMBER(log.level), "\"info\"",
        "Lowest level written: debug, info, warning or error."},
    setting{
        "decision_record.bytes_per_second",
        HICKORYGAP_MEMBER(decision_record.bytes_per_second), "4096",
        "Rate limit for sending decision records.", "bytes/s", 64,
        100 * mebibyte},
    setting{
        "decision_record.buffer_bytes",
        HICKORYGAP_MEMBER(decision_record.buffer_bytes), "4194304",
        "Size of the buffer of records to send; when full, later records are "
        "replaced by a gap record.",
        "bytes", 4096, gibibyte},
    setting{
        "decision_record.file_bytes",
        HICKORYGAP_MEMBER(decision_record.file_bytes), "67108864",
        "Size at which a file of records is closed and the next begun.",
        "bytes", 65536, 4 * gibibyte},
    setting{
        "decision_record.batch_delay_ms",
        HICKORYGAP_MEMBER(decision_record.batch_delay), "1000",
        "Longest time that a record waits for its batch to fill.", "ms", 10,
        60'000},
    setting{
        "placement.directory_entries",
        HICKORYGAP_MEMBER(placement.directory_entries), "200000",
        "Chats in the placement directory of the owner of a cell.", "chats",
        1000, 100'000'000},
    setting{
        "monitor.interval_ms", HICKORYGAP_MEMBER(monitor.interval), "1000",
        "Time between two polls of a backend server.", "ms", 10, hour_ms},
    setting{
        "idempotency.window_hours", HICKORYGAP_MEMBER(idempotency.window), "24",
        "Retention time of the outcomes of non-repeatable calls.", "h", 1,
        24 * 30},
    setting{
        "slo.error_budget", HICKORYGAP_MEMBER(slo.error_budget), "0.05",
        "Share of requests that may miss their target.", "", 0.0001, 1},
    setting{
        "test.blocked_peers_file", HICKORYGAP_MEMBER(test.blocked_peers_file),
        "\"\"",
        "Tests only: file with the ids of instances to cut off; off when "
        "empty."},
};

#undef HICKORYGAP_MEMBER

constexpr std::array<std::string_view, 4> level_names{
    "debug", "info", "warning", "error"};

std::string to_json(bool value, const setting& /*row*/)
{
    return value ? "true" : "false";
}

template <typename Number>
std::string to_json(Number value, const setting& /*row*/)
{
    return fmt::format("{}", value);
}

std::string to_json(duration value, const setting& row)
{
    return fmt::format("{}", value / duration_unit(row.unit));
}

std::string to_json(const std::string& value, const setting& /*row*/)
{
    return json_quote(value);
}

std::string to_json(const digest& value, const setting& /*row*/)
{
    return json_quote(to_hex(value));
}

std::string to_json(log_level value, const setting& /*row*/)
{
    return json_quote(level_names.at(static_cast<std::size_t>(value)));
}

std::string
to_json(const std::vector<instance_id>& value, const setting& /*row*/)
{
    return fmt::format("[{}]", fmt::join(value, ", "));
}

std::string to_json(const std::vector<peer_seed>& value, const setting& /*row*/)
{
    std::vector<std::string> entries;
    entries.reserve(value.size());
    for (const peer_seed& seed : value)
    {
        entries.push_back(fmt::format(
            R"({{"id": {}, "address": "{}"}})", seed.id,
            format_address(seed.address.host, seed.address.port)));
    }
    return fmt::format("[{}]", fmt::join(entries, ", "));
}

// Names of the alternatives of setting_member, in the order of the variant.
constexpr std::array<std::string_view, 11> type_names{
    "true or false",
    "whole number",
    "whole number",
    "whole number",
    "number",
    "whole number",
    "string",
    "SHA-256 digest",
    "level",
    "list of ids",
    "list of id and address"};
static_assert(type_names.size() == std::variant_size_v<setting_member>);

} // namespace

std::span<const setting> settings_table()
{
    return table;
}

duration duration_unit(std::string_view unit)
{
    if (unit == "h")
    {
        return std::chrono::hours{1};
    }
    return unit == "s" ? duration{std::chrono::seconds{1}}
                       : duration{std::chrono::milliseconds{1}};
}

std::string_view type_name(const setting& row)
{
    return type_names.at(row.member.index());
}

std::string range_text(const setting& row)
{
    return row.lowest == row.highest
               ? std::string{}
               : fmt::format("{} to {}", row.lowest, row.highest);
}

std::string value_json(const setting& row, const settings& source)
{
    // The accessors return mutable references, because the parser writes
    // through them; here they are only read.
    auto& unchanged = const_cast<settings&>(source);
    return std::visit(
        [&](auto member) { return to_json(member(unchanged), row); },
        row.member);
}

} // namespace hickorygap
