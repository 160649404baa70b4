#ifndef HICKORYGAP_CONNECTION_H1_RESPONSE_READER_HPP
#define HICKORYGAP_CONNECTION_H1_RESPONSE_READER_HPP

#include "connection/h1/message_framing.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorygap
{

// Longest body that a reader holds, in bytes: as long as a request may be. A
// faulty server may send bytes without end.
inline constexpr std::size_t max_held_body = std::size_t{4} * 1024 * 1024;

// Reads one response from a connection.
class response_reader
{
public:
    enum class state
    {
        head_incomplete,
        body_incomplete,
        complete,

        // The bytes are no response; the connection is of no more use.
        broken
    };

    // method: that of the request, which decides whether a body follows.
    explicit response_reader(std::string_view method);

    // Takes bytes from the front of the input. Bytes after the response stay.
    state read(std::string& input);

    // The connection ended in order.
    state finish();

    state current() const
    {
        return state_;
    }

    // Valid once the head is complete.
    const Poco::Net::HTTPResponse& head() const
    {
        return head_;
    }

    // Bytes of the body that arrived and were not taken yet. More than
    // max_held_body of them break the response.
    std::string& body()
    {
        return body_;
    }

    // Whether the connection can carry another request after this response.
    bool keeps_connection() const;

private:
    std::string method_;
    Poco::Net::HTTPResponse head_;
    body_framing framing_;
    body_decoder decoder_;
    std::string body_;
    int interim_responses_ = 0;
    state state_ = state::head_incomplete;
};

} // namespace hickorygap

#endif
