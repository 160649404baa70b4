#ifndef HICKORYGAP_CONNECTION_H1_EVENT_SPLITTER_HPP
#define HICKORYGAP_CONNECTION_H1_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorygap
{

// One server-sent event, with the empty line that ends it.
struct stream_event
{
    std::string text;

    // Its `id` field when that is a number.
    std::optional<std::uint64_t> id;

    // It holds nothing but comments, as sent to keep a connection alive.
    bool is_comment = false;
};

// Longest event, in bytes; larger than any that an engine sends at a time.
inline constexpr std::size_t max_event = std::size_t{256} * 1024;

// Splits the body of a text/event-stream response into whole events.
class event_splitter
{
public:
    // Takes all bytes from the input.
    void add(std::string& input);

    // The next whole event, or nothing until more bytes arrive.
    std::optional<stream_event> next();

    // Bytes of an event whose end has not arrived.
    std::string_view remainder() const
    {
        return buffer_;
    }

    // The bytes can't be an event any more: a faulty server may send bytes
    // without end.
    bool is_overlong() const
    {
        return buffer_.size() > max_event;
    }

private:
    std::string buffer_;
};

} // namespace hickorygap

#endif
