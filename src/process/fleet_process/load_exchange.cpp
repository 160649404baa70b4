#include "process/fleet_process/load_exchange.hpp"

#include "common/compression.hpp"
#include "common/hashing.hpp"
#include "common/logging.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace hickorygap
{

namespace
{

// Share of a network link that messages of one kind to all peers may take.
constexpr double broadcast_link_share = 0.2;

// Largest value that a message can hold: each takes one byte.
constexpr std::uint16_t max_encoded_value =
    std::numeric_limits<std::uint8_t>::max();

constexpr std::array load_fields{
    &backend_load::in_flight, &backend_load::outcomes, &backend_load::failures,
    &backend_load::progress};
constexpr std::array condition_fields{
    &fleet_backend_load::in_flight, &fleet_backend_load::failure_percent};

char to_byte(std::uint16_t value)
{
    return static_cast<char>(std::min(value, max_encoded_value));
}

// Scales outcomes down to the largest value that a message can hold, and keeps
// their failure share.
void scale_outcomes(backend_load& load)
{
    if (load.outcomes > max_encoded_value)
    {
        load.failures = static_cast<std::uint16_t>(
            load.failures * max_encoded_value / load.outcomes);
        load.outcomes = max_encoded_value;
    }
}

void add_saturating(std::uint16_t& sum, std::uint16_t value)
{
    constexpr std::uint32_t max_sum = std::numeric_limits<std::uint16_t>::max();
    sum = static_cast<std::uint16_t>(
        std::min(std::uint32_t{sum} + value, max_sum));
}

// Time after which the requests of a router that no longer reports are taken
// for ended. Most requests take less. A shorter time also dropped the running
// requests of routers that were only slow to report: at 200 routers a report is
// two seconds old when the next one arrives.
constexpr duration report_expiry = std::chrono::seconds{5};

} // namespace

duration broadcast_interval(
    std::size_t peers, std::size_t message_bytes,
    double link_megabits_per_second)
{
    constexpr double bytes_per_megabit = 1e6 / 8;
    const double bytes = static_cast<double>(peers * message_bytes);
    const std::chrono::duration<double> seconds{
        bytes /
        (link_megabits_per_second * bytes_per_megabit * broadcast_link_share)};
    return std::chrono::duration_cast<duration>(seconds);
}

duration load_interval(
    std::size_t peers, std::size_t message_bytes,
    double link_megabits_per_second)
{
    return std::max(
        shortest_load_interval,
        broadcast_interval(peers, message_bytes, link_megabits_per_second));
}

load_codec::load_codec(const backend_list_replica& list)
    : list_{list}
{
}

std::span<const std::uint32_t> load_codec::server_numbers()
{
    if (server_numbers_version_ != list_.version())
    {
        server_numbers_version_ = list_.version();
        server_numbers_.clear();
        for (const listed_backend& backend : list_.list())
        {
            server_numbers_.push_back(short_backend_id(hash_name(backend.id)));
        }
    }
    return server_numbers_;
}

template <typename Message, typename Row, std::size_t FieldCount>
std::optional<Message> load_codec::encode_rows(
    std::span<const Row> rows,
    const std::array<std::uint16_t Row::*, FieldCount>& fields)
{
    if (list_.version() == backend_list_version{})
    {
        return std::nullopt;
    }
    absl::flat_hash_map<std::uint32_t, const Row*> by_number;
    for (const Row& row : rows)
    {
        by_number[row.backend] = &row;
    }
    const auto servers = server_numbers();
    std::string bytes(servers.size() * FieldCount, '\0');
    for (std::size_t index = 0; index < servers.size(); ++index)
    {
        const auto found = by_number.find(servers[index]);
        for (std::size_t i = 0; i < FieldCount && found != by_number.end(); ++i)
        {
            bytes[i * servers.size() + index] =
                to_byte(found->second->*fields[i]);
        }
    }
    Message message;
    message.backends_epoch = list_.version().epoch;
    message.backends_sequence = list_.version().sequence;
    message.figures = compress(bytes);
    return message;
}

template <typename Row, typename Message, std::size_t FieldCount>
std::optional<std::vector<Row>> load_codec::decode_rows(
    const Message& message,
    const std::array<std::uint16_t Row::*, FieldCount>& fields)
{
    if (list_.version() !=
        backend_list_version{message.backends_epoch, message.backends_sequence})
    {
        return std::nullopt;
    }
    const auto servers = server_numbers();
    const auto bytes = decompress(message.figures, servers.size() * FieldCount);
    if (!bytes.ok() || bytes->size() != servers.size() * FieldCount)
    {
        log(log_level::warning, subsystem::membership,
            "loads_unreadable bytes={} servers={}", message.figures.size(),
            servers.size());
        return std::nullopt;
    }
    std::vector<Row> rows;
    for (std::size_t index = 0; index < servers.size(); ++index)
    {
        Row row;
        bool is_empty = true;
        for (std::size_t i = 0; i < FieldCount; ++i)
        {
            const auto value =
                static_cast<std::uint8_t>((*bytes)[i * servers.size() + index]);
            row.*fields[i] = value;
            is_empty = is_empty && value == 0;
        }
        if (!is_empty)
        {
            row.backend = servers[index];
            rows.push_back(row);
        }
    }
    return rows;
}

std::optional<wire::load_report_msg>
load_codec::encode(std::span<const backend_load> loads)
{
    std::vector<backend_load> scaled{loads.begin(), loads.end()};
    std::ranges::for_each(scaled, scale_outcomes);
    return encode_rows<wire::load_report_msg, backend_load>(
        scaled, load_fields);
}

std::optional<wire::load_summary_msg>
load_codec::encode(std::span<const fleet_backend_load> conditions)
{
    return encode_rows<wire::load_summary_msg>(conditions, condition_fields);
}

std::optional<std::vector<backend_load>>
load_codec::decode(const wire::load_report_msg& report)
{
    return decode_rows<backend_load>(report, load_fields);
}

std::optional<std::vector<fleet_backend_load>>
load_codec::decode(const wire::load_summary_msg& summary)
{
    return decode_rows<fleet_backend_load>(summary, condition_fields);
}

void load_aggregator::set(
    instance_id router, std::vector<backend_load> loads, time_point now)
{
    for (const backend_load& load : loads)
    {
        backend_load& known = outcomes_[load.backend];
        add_saturating(known.outcomes, load.outcomes);
        add_saturating(known.failures, load.failures);
        add_saturating(known.progress, load.progress);
    }
    reports_[router] = {std::move(loads), now};
}

void load_aggregator::keep_only(const std::set<instance_id>& routers)
{
    std::erase_if(
        reports_,
        [&](const auto& item) { return !routers.contains(item.first); });
}

std::vector<backend_load> load_aggregator::take_sum(time_point now)
{
    std::erase_if(
        reports_, [&](const auto& item)
        { return now - item.second.received_at > report_expiry; });
    std::map<std::uint32_t, backend_load> totals;
    std::swap(totals, outcomes_);
    for (const auto& [router, report] : reports_)
    {
        for (const backend_load& load : report.loads)
        {
            add_saturating(totals[load.backend].in_flight, load.in_flight);
        }
    }
    std::vector<backend_load> result;
    for (auto& [backend, total] : totals)
    {
        total.backend = backend;
        result.push_back(total);
    }
    return result;
}

} // namespace hickorygap
