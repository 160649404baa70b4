#ifndef HICKORYGAP_CONNECTION_H1_EVENT_SPLITTER_HPP
#define HICKORYGAP_CONNECTION_H1_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorygap
{

// One server-sent event, including the empty line that ends it.
struct stream_event
{
    std::string text;

    // Value of the `id` field, if it is a number.
    std::optional<std::uint64_t> id;

    // Whether it contains only comments, which servers send as keep-alives.
    bool is_comment = false;
};

// Longest accepted event; larger than any event that an engine sends.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

// Splits the body of a text/event-stream response into complete events.
class event_splitter
{
public:
    // Moves all bytes out of the input.
    void add(std::string& input);

    // The next complete event; nullopt until more bytes are added.
    std::optional<stream_event> next();

    // Whether a complete event with more than comments has been added.
    bool has_data_event() const;

    // Bytes of an incomplete event.
    std::string_view remainder() const
    {
        return std::string_view{buffer_}.substr(consumed_);
    }

    // Whether the buffered bytes exceed the longest event. Bounds the memory
    // that a faulty server can fill by never ending an event.
    bool is_overlong() const
    {
        return remainder().size() > max_event_bytes;
    }

private:
    std::string buffer_;

    // Bytes of the buffer that have been returned as events.
    std::size_t consumed_ = 0;

    // Position from which the end of the next event is searched, so that bytes
    // are examined once, however many arrive at a time.
    std::size_t searched_ = 0;
};

} // namespace hickorygap

#endif
