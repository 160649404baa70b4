#ifndef HICKORYGAP_CONNECTION_H1_REQUEST_READER_HPP
#define HICKORYGAP_CONNECTION_H1_REQUEST_READER_HPP

#include "connection/h1/message_framing.hpp"

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <memory>
#include <string>

namespace hickorygap
{

// Limits on the size of a request.
struct request_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
};

// A completely received request.
struct received_request
{
    std::unique_ptr<Poco::Net::HTTPRequest> head;
    std::string body;
};

// Parses the requests of one connection. After a failure the start of the next
// request is unknown, so the connection must be closed after the response.
class request_reader
{
public:
    enum class state
    {
        incomplete,
        complete,
        failed
    };

    // Consumes bytes from the front of the input until a request is complete.
    state read(std::string& input, const request_limits& limits);

    // Returns the complete request and prepares the reader for the next one.
    received_request take();

    // Whether the header of the next request has been read.
    bool has_head() const
    {
        return head_ != nullptr;
    }

    // Memory of the body that is being read.
    std::size_t buffered_bytes() const
    {
        return body_.empty() ? 0 : body_.capacity();
    }

    // The header of the next request; nullptr before it has been read.
    const Poco::Net::HTTPRequest* head() const
    {
        return head_.get();
    }

    // Drops what has arrived of a request that is not read to its end.
    void discard();

    // Whether the request that is being read expects a "100 Continue" response
    // before its body. True at most once per request.
    bool take_continue_request();

    // Status for the response to a failed request: 400, 413 or 431.
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
