#include "connection/h1/request_reader.hpp"

#include "common/text.hpp"

#include <Poco/String.h>

#include <utility>

namespace hickorygap
{

request_reader::state
request_reader::fail(Poco::Net::HTTPResponse::HTTPStatus status)
{
    failure_ = status;
    failed_ = true;
    return state::failed;
}

request_reader::state
request_reader::read(std::string& input, const request_limits& limits)
{
    using Poco::Net::HTTPResponse;
    if (failed_)
    {
        return state::failed;
    }
    if (!head_)
    {
        // Empty lines before a request line are ignored, RFC 9112 section 2.2.
        std::size_t blank = 0;
        while (std::string_view{input}.substr(blank).starts_with("\r\n"))
        {
            blank += 2;
        }
        input.erase(0, blank);
        const auto end = find_head_end(input);
        if (end.value_or(input.size()) > limits.header_bytes)
        {
            return fail(HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        if (!end)
        {
            return state::incomplete;
        }
        const std::string_view head{input.data(), *end};
        auto parsed = std::make_unique<Poco::Net::HTTPRequest>();
        const auto framing = read_request_head(head, *parsed);
        if (!framing)
        {
            return fail(HTTPResponse::HTTP_BAD_REQUEST);
        }
        if (framing->length > limits.body_bytes)
        {
            return fail(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
        }
        input.erase(0, *end);
        head_ = std::move(parsed);
        decoder_ = body_decoder{*framing};
        continue_requested_ =
            Poco::icompare(
                head_->get("Expect", std::string{}), "100-continue") == 0;
    }
    const body_decoder::state body = decoder_.decode(input, body_);
    if (body == body_decoder::state::broken)
    {
        return fail(HTTPResponse::HTTP_BAD_REQUEST);
    }
    if (body_.size() > limits.body_bytes)
    {
        return fail(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
    }
    return body == body_decoder::state::complete ? state::complete
                                                 : state::incomplete;
}

received_request request_reader::take()
{
    continue_requested_ = false;
    return {std::move(head_), std::exchange(body_, {})};
}

void request_reader::discard()
{
    failed_ = true;
    release_memory(body_);
}

bool request_reader::take_continue_request()
{
    return std::exchange(continue_requested_, false);
}

} // namespace hickorygap
