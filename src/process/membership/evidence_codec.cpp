#include "process/membership/evidence_codec.hpp"

#include "common/error.hpp"

#include <algorithm>
#include <limits>

namespace hickorygap
{

namespace
{

constexpr std::uint8_t unknown_age = 255;
constexpr std::size_t bits_per_byte = 8;

void append_varint(std::vector<std::uint8_t>& output, std::uint32_t value)
{
    while (value >= 0x80U)
    {
        output.push_back(static_cast<std::uint8_t>(value | 0x80U));
        value >>= 7U;
    }
    output.push_back(static_cast<std::uint8_t>(value));
}

std::optional<std::uint32_t> read_varint(std::span<const std::uint8_t>& data)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 35 && !data.empty(); shift += 7)
    {
        const std::uint8_t byte = data.front();
        data = data.subspan(1);
        value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
        if ((byte & 0x80U) == 0)
        {
            if (value > std::numeric_limits<std::uint32_t>::max())
            {
                return std::nullopt;
            }
            return static_cast<std::uint32_t>(value);
        }
    }
    return std::nullopt;
}

std::uint8_t encode_age(const std::optional<duration>& age)
{
    if (!age || *age > max_evidence_age)
    {
        return unknown_age;
    }
    const auto steps = (*age + evidence_step - duration{1}) / evidence_step;
    return static_cast<std::uint8_t>(
        std::max<duration::rep>(steps, duration::rep{0}));
}

void append_run(
    std::vector<std::uint8_t>& output, std::span<const evidence_entry> run,
    std::uint32_t previous_end)
{
    append_varint(output, run.front().instance - previous_end);
    const bool all_applied = std::all_of(
        run.begin(), run.end(),
        [](const evidence_entry& entry) { return entry.applied; });
    append_varint(
        output,
        static_cast<std::uint32_t>(2 * run.size()) + (all_applied ? 1U : 0U));
    for (const evidence_entry& entry : run)
    {
        output.push_back(encode_age(entry.age));
    }
    for (std::size_t i = 0; !all_applied && i < run.size(); i += bits_per_byte)
    {
        std::uint8_t bits = 0;
        for (std::size_t bit = 0; bit < bits_per_byte && i + bit < run.size();
             ++bit)
        {
            bits |= static_cast<std::uint8_t>(
                (run[i + bit].applied ? 1U : 0U) << bit);
        }
        output.push_back(bits);
    }
}

absl::Status make_malformed_error()
{
    return make_error(
        error_kind::invalid_request,
        "the evidence in a ping is damaged; check that all instances run the "
        "same release");
}

} // namespace

std::vector<std::uint8_t>
encode_evidence(std::span<const evidence_entry> entries)
{
    std::vector<std::uint8_t> output;
    std::uint32_t previous_end = 0;
    std::size_t start = 0;
    while (start < entries.size())
    {
        std::size_t end = start + 1;
        while (end < entries.size() &&
               entries[end].instance == entries[end - 1].instance + 1)
        {
            ++end;
        }
        append_run(output, entries.subspan(start, end - start), previous_end);
        previous_end = entries[end - 1].instance + 1;
        start = end;
    }
    return output;
}

absl::StatusOr<std::vector<evidence_entry>>
decode_evidence(std::span<const std::uint8_t> data)
{
    std::vector<evidence_entry> entries;
    std::uint64_t next = 0;
    while (!data.empty())
    {
        const auto gap = read_varint(data);
        const auto length = read_varint(data);
        if (!gap || !length || *length < 2)
        {
            return make_malformed_error();
        }
        const std::uint32_t count = *length / 2;
        const bool all_applied = *length % 2 != 0;
        const std::size_t bitmap =
            all_applied
                ? 0
                : (std::size_t{count} + bits_per_byte - 1) / bits_per_byte;
        const std::uint64_t first = next + *gap;
        next = first + count;
        if (data.size() < count + bitmap ||
            next > std::uint64_t{std::numeric_limits<std::uint32_t>::max()} + 1)
        {
            return make_malformed_error();
        }
        for (std::uint32_t i = 0; i < count; ++i)
        {
            evidence_entry entry;
            entry.instance = static_cast<instance_id>(first + i);
            if (data[i] != unknown_age)
            {
                entry.age = evidence_step * data[i];
            }
            entry.applied =
                all_applied ||
                ((data[count + i / bits_per_byte] >> (i % bits_per_byte)) &
                 1U) != 0;
            entries.push_back(entry);
        }
        data = data.subspan(count + bitmap);
    }
    return entries;
}

} // namespace hickorygap
