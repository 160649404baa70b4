#include "connection/h1/response_reader.hpp"

namespace hickorygap
{

namespace
{

constexpr int first_final_status = 200;

// Limit on 1xx responses before the final response, so that a faulty server
// can't send them without end.
constexpr int max_interim_responses = 8;

} // namespace

response_reader::response_reader(std::string_view method)
    : method_{method}
{
}

response_reader::state response_reader::read(std::string& input)
{
    while (state_ == state::head_incomplete)
    {
        const auto end = find_head_end(input);
        if (!end)
        {
            if (input.size() > max_response_head_bytes)
            {
                state_ = state::broken;
            }
            return state_;
        }
        const std::string_view head{input.data(), *end};
        head_.clear();
        if (!parse_head(head, head_))
        {
            state_ = state::broken;
            return state_;
        }
        input.erase(0, *end);
        if (head_.getStatus() < first_final_status)
        {
            // An interim (1xx) response; the final one follows.
            if (++interim_responses_ > max_interim_responses)
            {
                state_ = state::broken;
                return state_;
            }
            continue;
        }
        const auto framing = response_framing(head_, method_);
        if (!framing)
        {
            state_ = state::broken;
            return state_;
        }
        framing_ = *framing;
        decoder_ = body_decoder{framing_};
        state_ = state::body_incomplete;
    }
    if (state_ == state::body_incomplete)
    {
        const body_decoder::state body = decoder_.decode(input, body_);
        if (body == body_decoder::state::complete)
        {
            state_ = state::complete;
        }
        else if (
            body == body_decoder::state::broken ||
            body_.size() > max_buffered_body_bytes)
        {
            state_ = state::broken;
        }
    }
    return state_;
}

response_reader::state response_reader::finish()
{
    if (state_ == state::body_incomplete)
    {
        state_ = decoder_.finish() == body_decoder::state::complete
                     ? state::complete
                     : state::broken;
    }
    else if (state_ == state::head_incomplete)
    {
        state_ = state::broken;
    }
    return state_;
}

bool response_reader::keeps_connection() const
{
    return framing_.kind != body_kind::until_close && keeps_open(head_);
}

} // namespace hickorygap
