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

// How the text of a string setting is checked.
enum class text_format
{
    any,
    ip_number
};

// Function that finds a setting's member in the settings.
template <typename Value>
using member_of = Value& (*)(settings&);

using setting_member = std::variant<
    member_of<bool>, member_of<std::uint16_t>, member_of<std::uint32_t>,
    member_of<std::uint64_t>, member_of<double>, member_of<duration>,
    member_of<std::string>, member_of<digest>, member_of<log_level>,
    member_of<std::vector<instance_id>>, member_of<std::vector<peer_seed>>>;

// Declaration of one key of the settings file.
struct setting
{
    // Path with dots, e.g. "callers.limits.body_bytes".
    std::string_view key;
    setting_member member;

    // Default as JSON; empty when the key must be given.
    std::string_view default_json;
    std::string_view description;

    // Unit of numbers; for durations the unit in the file: ms, s or h.
    std::string_view unit{};

    // Range of numbers in that unit, both ends included.
    double lowest = 0.0;
    double highest = 0.0;
    text_format format = text_format::any;
};

// All keys in the order in which they are shown.
std::span<const setting> settings_table();

// Length of a duration's unit: ms, s or h.
duration duration_unit(std::string_view unit);

// Name of the type for people, e.g. "whole number".
std::string_view type_name(const setting& row);

// The range with its unit for people, e.g. "1 to 65535"; empty without one.
std::string range_text(const setting& row);

// The value of a key as JSON.
std::string value_json(const setting& row, const settings& source);

} // namespace hickorygap

#endif
