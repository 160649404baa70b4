#ifndef HICKORYGAP_CONNECTION_HTTP_CHAT_REQUEST_HPP
#define HICKORYGAP_CONNECTION_HTTP_CHAT_REQUEST_HPP

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hickorygap
{

// Fields of a chat completion request that routing uses.
struct chat_request
{
    std::string model;

    // From `conversation`, else `user`; empty when the body has neither.
    std::string chat;
    bool stream = false;

    // Zero when the body has no `max_tokens`.
    std::uint32_t max_tokens = 0;
};

// Parses the body of POST /v1/chat/completions. Fails with
// error_kind::invalid_request when the body isn't a JSON object, is nested
// deeper than `depth_limit` or has a field of the wrong type.
absl::StatusOr<chat_request>
parse_chat_request(const std::string& body, std::size_t depth_limit);

} // namespace hickorygap

#endif
