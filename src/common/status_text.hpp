#ifndef HICKORYGAP_COMMON_STATUS_TEXT_HPP
#define HICKORYGAP_COMMON_STATUS_TEXT_HPP

#include <absl/status/status.h>

#include <string_view>

namespace hickorygap
{

// A status's message as a type that fmt can format.
inline std::string_view message_of(const absl::Status& status)
{
    return {status.message().data(), status.message().size()};
}

} // namespace hickorygap

#endif
