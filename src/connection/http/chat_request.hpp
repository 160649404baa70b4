#ifndef HICKORYGAP_CONNECTION_HTTP_CHAT_REQUEST_HPP
#define HICKORYGAP_CONNECTION_HTTP_CHAT_REQUEST_HPP

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hickorygap
{

// The fields of a chat completion that routing needs.
struct chat_request
{
    std::string model;

    // From `conversation`, else `user`; empty when the body has neither.
    std::string chat;
    bool stream = false;

    // `max_tokens`; zero when the body has none.
    std::uint32_t max_tokens = 0;
};

// Parses the body of POST /v1/chat/completions. error_kind::invalid_request
// when it isn't a JSON object with the fields in their types.
absl::StatusOr<chat_request>
parse_chat_request(const std::string& body, std::size_t depth_limit);

} // namespace hickorygap

#endif
