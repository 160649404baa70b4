#ifndef HICKORYGAP_COMMON_JSON_HPP
#define HICKORYGAP_COMMON_JSON_HPP

#include "common/error.hpp"

#include <Poco/JSON/Object.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Parses a JSON object with // and /* */ comments. Rejects duplicate keys,
// trailing text and nesting deeper than 16 levels. Errors carry `kind` and the
// parser's message with the position.
absl::StatusOr<Poco::JSON::Object::Ptr>
parse_json_object(std::string_view text, error_kind kind);

// Returns the known name with the smallest edit distance to `name`; empty when
// there are no known names.
std::string_view
nearest_name(std::string_view name, std::span<const std::string_view> known);

// Formats the text as a JSON string, with quotes and escapes.
std::string json_quote(std::string_view text);

// Formats a value as JSON for an error message, truncated to 60 bytes.
std::string json_excerpt(const Poco::Dynamic::Var& value);

// Range of a number, both bounds inclusive, and its unit for error messages.
template <typename Number>
struct number_range
{
    Number lowest = std::numeric_limits<Number>::lowest();
    Number highest = std::numeric_limits<Number>::max();
    std::string_view unit;
};

// Conversions of one value. Error: invalid_request; its message continues a
// sentence that starts with the key's path, e.g. "must be true or false; it is
// 7".
absl::StatusOr<std::string> json_string(const Poco::Dynamic::Var& value);
absl::StatusOr<bool> json_bool(const Poco::Dynamic::Var& value);
absl::StatusOr<std::uint64_t> json_integer(
    const Poco::Dynamic::Var& value, const number_range<std::uint64_t>& range);
absl::StatusOr<double>
json_number(const Poco::Dynamic::Var& value, const number_range<double>& range);

// Reads the members of one object and keeps the first error. Every key that is
// read counts as known; finish() rejects all others. When a key is missing, the
// read functions leave the output unchanged.
class json_object_reader
{
public:
    // `path` names the object in error messages, e.g. "services.booking.".
    // The object must outlive the reader.
    json_object_reader(const Poco::JSON::Object& object, std::string path);

    void read(std::string_view key, std::string& output);
    void read(std::string_view key, bool& output);
    void read(
        std::string_view key, std::uint64_t& output,
        const number_range<std::uint64_t>& range);
    void read(
        std::string_view key, double& output,
        const number_range<double>& range);

    // Returns the value of a key; empty when it is missing or null.
    Poco::Dynamic::Var take(std::string_view key);
    bool has(std::string_view key) const;

    // Returns an object member; null when the key is missing, or when the value
    // is not an object, which is recorded as an error.
    Poco::JSON::Object::Ptr take_object(std::string_view key);

    // Same for an array member.
    Poco::JSON::Array::Ptr take_array(std::string_view key);

    // Records "<path><key> <text>" as the error, unless there is one already.
    void fail(std::string_view key, std::string_view text);

    // Records the error of a nested value that was read by other code, unless
    // there is one already.
    void fail(const absl::Status& status);

    // Returns the first error recorded; else an error for the first unknown
    // key, which suggests the nearest known key; else OK. Errors carry `kind`.
    absl::Status finish(error_kind kind);

private:
    template <typename Value, typename Convert>
    void read_with(std::string_view key, Value& output, Convert convert);

    const Poco::JSON::Object& object_;
    std::string path_;
    std::vector<std::string_view> known_;
    std::string error_;
};

} // namespace hickorygap

#endif
