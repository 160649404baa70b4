#ifndef HICKORYGAP_VERSION_CONFIGURATION_RANK_NAMES_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_RANK_NAMES_HPP

#include "common/ids.hpp"

#include <array>
#include <optional>
#include <string_view>

namespace hickorygap
{

// Names of the ranks in tickets, headers and reports, indexed by rank.
inline constexpr std::array<std::string_view, rank_count> rank_names{
    "urgent", "normal", "background"};

inline std::string_view rank_name(rank value)
{
    return rank_names.at(static_cast<std::size_t>(value));
}

// The rank with the name; nullopt when the name is unknown.
inline std::optional<rank> parse_rank(std::string_view name)
{
    for (std::size_t i = 0; i < rank_names.size(); ++i)
    {
        if (rank_names.at(i) == name)
        {
            return static_cast<rank>(i);
        }
    }
    return std::nullopt;
}

} // namespace hickorygap

#endif
