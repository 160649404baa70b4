#ifndef HICKORYGAP_COMMON_STATUS_TEXT_HPP
#define HICKORYGAP_COMMON_STATUS_TEXT_HPP

#include <absl/status/status.h>

#include <string_view>

namespace hickorygap
{

// Message of a status as std::string_view, which fmt can format.
inline std::string_view message_of(const absl::Status& status)
{
    return {status.message().data(), status.message().size()};
}

} // namespace hickorygap

#endif
