#include "common/json.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/JSONString.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <sstream>

namespace hickorygap
{

namespace
{

// Limit on the nesting depth, which bounds the parser's recursion. The
// documents used here need 5 levels.
constexpr std::size_t max_depth = 16;

// Values in error messages are truncated to this many bytes.
constexpr std::size_t max_excerpt_bytes = 60;

std::string_view to_string_view(absl::string_view text)
{
    return {text.data(), text.size()};
}

// Replaces comments by spaces, so that positions in the parser's messages stay
// correct. POCO's own option is not used: it also removes text inside strings
// that looks like a comment, doesn't support //, and takes 8.6 s for 1.1 MB,
// because it erases character by character.
std::string replace_comments_by_spaces(std::string_view text)
{
    std::string result{text};
    bool in_string = false;
    for (std::size_t i = 0; i < result.size(); ++i)
    {
        if (in_string)
        {
            if (result[i] == '\\')
            {
                ++i;
            }
            else if (result[i] == '"')
            {
                in_string = false;
            }
            continue;
        }
        if (result[i] == '"')
        {
            in_string = true;
            continue;
        }
        const std::string_view start = std::string_view{result}.substr(i, 2);
        if (start != "//" && start != "/*")
        {
            continue;
        }
        // An unterminated /* is kept, and the parser rejects it.
        const std::size_t end =
            start == "//" ? std::min(result.find('\n', i), result.size())
                          : result.find("*/", i + 2);
        if (end == std::string::npos)
        {
            break;
        }
        const std::size_t stop = start == "//" ? end : end + 2;
        for (; i < stop; ++i)
        {
            if (result[i] != '\n')
            {
                result[i] = ' ';
            }
        }
        --i;
    }
    return result;
}

// Builds POCO's tree and rejects duplicate keys in one object, of which POCO
// would silently keep the last.
class unique_key_handler : public Poco::JSON::ParseHandler
{
public:
    void startObject() override
    {
        keys_.emplace_back();
        ParseHandler::startObject();
    }

    void endObject() override
    {
        keys_.pop_back();
        ParseHandler::endObject();
    }

    void key(const std::string& name) override
    {
        if (!keys_.back().insert(name).second)
        {
            throw Poco::SyntaxException(
                fmt::format("the key {} occurs twice", json_quote(name)));
        }
        ParseHandler::key(name);
    }

private:
    std::vector<std::set<std::string>> keys_;
};

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j)
        {
            const std::size_t substitution_cost =
                diagonal + (left[i] == right[j] ? 0U : 1U);
            diagonal = row[j + 1];
            row[j + 1] =
                std::min({row[j] + 1, row[j + 1] + 1, substitution_cost});
        }
    }
    return row.back();
}

absl::Status wrong_value(std::string_view wanted, const Poco::Dynamic::Var& got)
{
    return make_error(
        error_kind::invalid_request,
        fmt::format("must be {}; it is {}", wanted, json_excerpt(got)));
}

template <typename Number>
std::string describe(const number_range<Number>& range)
{
    return fmt::format(
        "from {} to {}{}{}", range.lowest, range.highest,
        range.unit.empty() ? "" : " ", range.unit);
}

} // namespace

absl::StatusOr<Poco::JSON::Object::Ptr>
parse_json_object(std::string_view text, error_kind kind)
{
    try
    {
        Poco::JSON::Parser parser{new unique_key_handler};
        parser.setDepth(max_depth);
        const Poco::Dynamic::Var result =
            parser.parse(replace_comments_by_spaces(text));
        if (result.type() == typeid(Poco::JSON::Object::Ptr))
        {
            return result.extract<Poco::JSON::Object::Ptr>();
        }
        return make_error(
            kind, "the document must be a JSON object; start it with {");
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            kind, fmt::format(
                      "the document is no valid JSON: {}; correct it there",
                      error.message()));
    }
}

std::string_view
nearest_name(std::string_view name, std::span<const std::string_view> known)
{
    std::string_view nearest;
    std::size_t smallest = std::numeric_limits<std::size_t>::max();
    for (const std::string_view candidate : known)
    {
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < smallest)
        {
            smallest = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string json_quote(std::string_view text)
{
    return Poco::toJSON(std::string{text});
}

std::string json_excerpt(const Poco::Dynamic::Var& value)
{
    std::ostringstream stream;
    Poco::JSON::Stringifier::stringify(value, stream);
    std::string text = stream.str();
    if (text.size() > max_excerpt_bytes)
    {
        text.resize(max_excerpt_bytes);
        text += "...";
    }
    return text;
}

absl::StatusOr<std::string> json_string(const Poco::Dynamic::Var& value)
{
    if (!value.isString())
    {
        return wrong_value("a string", value);
    }
    return value.extract<std::string>();
}

absl::StatusOr<bool> json_bool(const Poco::Dynamic::Var& value)
{
    if (!value.isBoolean())
    {
        return wrong_value("true or false", value);
    }
    return value.extract<bool>();
}

absl::StatusOr<std::uint64_t> json_integer(
    const Poco::Dynamic::Var& value, const number_range<std::uint64_t>& range)
{
    const auto invalid_value = [&]
    { return wrong_value("a whole number " + describe(range), value); };
    if (value.isBoolean() || !value.isInteger() ||
        (value.isSigned() && value.convert<std::int64_t>() < 0))
    {
        return invalid_value();
    }
    const auto number = value.convert<std::uint64_t>();
    if (number < range.lowest || number > range.highest)
    {
        return invalid_value();
    }
    return number;
}

absl::StatusOr<double>
json_number(const Poco::Dynamic::Var& value, const number_range<double>& range)
{
    if (value.isBoolean() || !value.isNumeric())
    {
        return wrong_value("a number " + describe(range), value);
    }
    const auto number = value.convert<double>();
    if (!std::isfinite(number) || number < range.lowest ||
        number > range.highest)
    {
        return wrong_value("a number " + describe(range), value);
    }
    return number;
}

json_object_reader::json_object_reader(
    const Poco::JSON::Object& object, std::string path)
    : object_(object)
    , path_(std::move(path))
{
}

template <typename Value, typename Convert>
void json_object_reader::read_with(
    std::string_view key, Value& output, Convert convert)
{
    if (!has(key))
    {
        known_.push_back(key);
        return;
    }
    auto value = convert(take(key));
    if (value.ok())
    {
        output = *std::move(value);
    }
    else
    {
        fail(key, to_string_view(value.status().message()));
    }
}

void json_object_reader::read(std::string_view key, std::string& output)
{
    read_with(key, output, json_string);
}

void json_object_reader::read(std::string_view key, bool& output)
{
    read_with(key, output, json_bool);
}

void json_object_reader::read(
    std::string_view key, std::uint64_t& output,
    const number_range<std::uint64_t>& range)
{
    read_with(
        key, output,
        [&](const Poco::Dynamic::Var& value)
        { return json_integer(value, range); });
}

void json_object_reader::read(
    std::string_view key, double& output, const number_range<double>& range)
{
    read_with(
        key, output,
        [&](const Poco::Dynamic::Var& value)
        { return json_number(value, range); });
}

Poco::Dynamic::Var json_object_reader::take(std::string_view key)
{
    known_.push_back(key);
    return object_.get(std::string{key});
}

bool json_object_reader::has(std::string_view key) const
{
    return object_.has(std::string{key});
}

Poco::JSON::Object::Ptr json_object_reader::take_object(std::string_view key)
{
    const Poco::Dynamic::Var value = take(key);
    if (value.type() == typeid(Poco::JSON::Object::Ptr))
    {
        return value.extract<Poco::JSON::Object::Ptr>();
    }
    if (has(key))
    {
        fail(key, "must be an object; it is " + json_excerpt(value));
    }
    return {};
}

Poco::JSON::Array::Ptr json_object_reader::take_array(std::string_view key)
{
    const Poco::Dynamic::Var value = take(key);
    if (value.type() == typeid(Poco::JSON::Array::Ptr))
    {
        return value.extract<Poco::JSON::Array::Ptr>();
    }
    if (has(key))
    {
        fail(key, "must be an array; it is " + json_excerpt(value));
    }
    return {};
}

void json_object_reader::fail(std::string_view key, std::string_view text)
{
    if (error_.empty())
    {
        error_ = fmt::format("{}{} {}", path_, key, text);
    }
}

void json_object_reader::fail(const absl::Status& status)
{
    if (error_.empty() && !status.ok())
    {
        error_ = to_string_view(status.message());
    }
}

absl::Status json_object_reader::finish(error_kind kind)
{
    for (const auto& [key, value] : object_)
    {
        if (std::find(known_.begin(), known_.end(), key) == known_.end())
        {
            fail(
                key, fmt::format(
                         "is no known key; the nearest known key is {}",
                         nearest_name(key, known_)));
        }
    }
    return error_.empty() ? absl::OkStatus() : make_error(kind, error_);
}

} // namespace hickorygap
