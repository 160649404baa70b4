#ifndef HICKORYGAP_PROCESS_SETTINGS_SETTINGS_TABLE_HPP
#define HICKORYGAP_PROCESS_SETTINGS_SETTINGS_TABLE_HPP

#include "process/settings/settings.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace hickorygap
{

// Validation of a string setting.
enum class text_format
{
    any,
    ip_number
};

// Returns a reference to the member of `settings` that holds a key's value.
template <typename Value>
using member_of = Value& (*)(settings&);

using setting_member = std::variant<
    member_of<bool>, member_of<std::uint16_t>, member_of<std::uint32_t>,
    member_of<std::uint64_t>, member_of<double>, member_of<duration>,
    member_of<std::string>, member_of<digest>, member_of<log_level>,
    member_of<std::vector<instance_id>>, member_of<std::vector<peer_seed>>>;

// Description of one key of the settings file.
struct setting
{
    // Dotted path, e.g. "callers.limits.body_bytes".
    std::string_view key;
    setting_member member;

    // Default value as JSON; empty when the key is required.
    std::string_view default_json;
    std::string_view description;

    // Unit of a numeric value; for durations the unit used in the file: ms, s
    // or h.
    std::string_view unit{};

    // Inclusive range of a numeric value, in `unit`.
    double lowest = 0.0;
    double highest = 0.0;
    text_format format = text_format::any;
};

// All keys, in the order in which check-settings prints them.
std::span<const setting> settings_table();

// Duration of one unit: ms, s or h.
duration duration_unit(std::string_view unit);

// Human-readable name of the value's type, e.g. "whole number".
std::string_view type_name(const setting& row);

// Human-readable range without its unit, e.g. "1 to 65535"; empty when the key
// has no range.
std::string range_text(const setting& row);

// The key's value in `source` as JSON.
std::string value_json(const setting& row, const settings& source);

} // namespace hickorygap

#endif
