#include "process/decision_record/decision_reason.hpp"

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace hickorygap
{

namespace
{

constexpr std::array<std::string_view, 8> placement_names{
    "unknown",  "directory",         "hash", "least_loaded", "spillover",
    "isolated", "owner_unreachable", "ended"};

constexpr auto first_refusal =
    static_cast<std::uint8_t>(decision_reason::first_refusal);

} // namespace

std::uint8_t reason_of(wire::refusal_reason refusal)
{
    return static_cast<std::uint8_t>(
        first_refusal + static_cast<std::uint8_t>(refusal));
}

std::uint8_t outcome_of(wire::attempt_outcome outcome)
{
    return static_cast<std::uint8_t>(1 + static_cast<std::uint8_t>(outcome));
}

std::string decision_reason_name(std::uint8_t reason)
{
    if (reason < placement_names.size())
    {
        return std::string{placement_names.at(reason)};
    }
    if (reason == static_cast<std::uint8_t>(decision_reason::end_of_chain))
    {
        return "end_of_chain";
    }
    if (reason == static_cast<std::uint8_t>(decision_reason::gap))
    {
        return "gap";
    }
    // The generated function returns an empty string for unknown values.
    const std::string_view name =
        reason < first_refusal
            ? ""
            : wire::EnumNamerefusal_reason(
                  static_cast<wire::refusal_reason>(reason - first_refusal));
    return name.empty() ? std::to_string(reason)
                        : fmt::format("refused_{}", name);
}

std::string decision_outcome_name(std::uint8_t outcome)
{
    if (outcome == 0)
    {
        return "unknown";
    }
    const std::string_view name = wire::EnumNameattempt_outcome(
        static_cast<wire::attempt_outcome>(outcome - 1));
    return name.empty() ? std::to_string(outcome) : std::string{name};
}

} // namespace hickorygap
