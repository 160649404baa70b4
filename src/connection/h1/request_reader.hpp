#ifndef HICKORYGAP_CONNECTION_H1_REQUEST_READER_HPP
#define HICKORYGAP_CONNECTION_H1_REQUEST_READER_HPP

#include "connection/h1/message_framing.hpp"

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <memory>
#include <string>

namespace hickorygap
{

// What a caller may send, in bytes.
struct request_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
};

// One request, read whole.
struct received_request
{
    std::unique_ptr<Poco::Net::HTTPRequest> head;
    std::string body;
};

// Splits the bytes of one connection into requests. After a failure the
// position of the next request is unknown, so the connection has to be closed
// after the answer.
class request_reader
{
public:
    enum class state
    {
        incomplete,
        complete,
        failed
    };

    // Takes bytes from the front of the input, until a request is complete.
    state read(std::string& input, const request_limits& limits);

    // The complete request; the reader is ready for the next one.
    received_request take();

    // Whether the head of the next request has been read.
    bool has_head() const
    {
        return head_ != nullptr;
    }

    // Whether the head was read and its sender waits for leave to send the
    // body. True once for each request.
    bool take_continue_request();

    // Status of the answer to a request that failed: 400, 413 or 431.
    Poco::Net::HTTPResponse::HTTPStatus failure() const
    {
        return failure_;
    }

private:
    state fail(Poco::Net::HTTPResponse::HTTPStatus status);

    std::unique_ptr<Poco::Net::HTTPRequest> head_;
    body_decoder decoder_;
    std::string body_;
    bool continue_requested_ = false;
    Poco::Net::HTTPResponse::HTTPStatus failure_ =
        Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
    bool failed_ = false;
};

} // namespace hickorygap

#endif
