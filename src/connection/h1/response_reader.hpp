#ifndef HICKORYGAP_CONNECTION_H1_RESPONSE_READER_HPP
#define HICKORYGAP_CONNECTION_H1_RESPONSE_READER_HPP

#include "common/text.hpp"
#include "connection/h1/message_framing.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorygap
{

// Limit on the buffered body of a response, equal to the limit for request
// bodies. Bounds the memory that a faulty server can fill with an endless body.
inline constexpr std::size_t max_buffered_body_bytes =
    std::size_t{4} * 1024 * 1024;

// Parses one response from the bytes of a connection.
class response_reader
{
public:
    enum class state
    {
        head_incomplete,
        body_incomplete,
        complete,

        // The response is malformed; the connection can't be used any more.
        broken
    };

    // `method` is the method of the request, which determines whether the
    // response has a body.
    explicit response_reader(std::string_view method);

    // Consumes bytes from the front of the input. Bytes after the response stay
    // in the input.
    state read(std::string& input);

    // To be called when the peer has closed the connection.
    state finish();

    state current() const
    {
        return state_;
    }

    // Valid once the header is complete.
    const Poco::Net::HTTPResponse& head() const
    {
        return head_;
    }

    // Body bytes received so far; the caller may remove bytes that it has
    // forwarded. More than max_buffered_body_bytes make the response broken.
    std::string& body()
    {
        return body_;
    }

    // Memory of the body.
    std::size_t buffered_bytes() const
    {
        return body_.empty() ? 0 : body_.capacity();
    }

    // Gives back the memory of the body, which has been forwarded.
    void discard_body()
    {
        release_memory(body_);
    }

    // Whether the connection can be reused after this response.
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
