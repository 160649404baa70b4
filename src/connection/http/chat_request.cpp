#include "connection/http/chat_request.hpp"

#include "common/error.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <limits>

namespace hickorygap
{

namespace
{

using Poco::JSON::Object;

// Reads a field that may be missing or null. False when it has another type.
bool read_string(const Object& object, const char* name, std::string& value)
{
    if (!object.has(name) || object.isNull(name))
    {
        return true;
    }
    const Poco::Dynamic::Var field = object.get(name);
    if (!field.isString())
    {
        return false;
    }
    value = field.extract<std::string>();
    return true;
}

bool read_flag(const Object& object, const char* name, bool& value)
{
    if (!object.has(name) || object.isNull(name))
    {
        return true;
    }
    const Poco::Dynamic::Var field = object.get(name);
    if (!field.isBoolean())
    {
        return false;
    }
    value = field.extract<bool>();
    return true;
}

bool read_count(const Object& object, const char* name, std::uint32_t& value)
{
    if (!object.has(name) || object.isNull(name))
    {
        return true;
    }
    const Poco::Dynamic::Var field = object.get(name);
    if (!field.isInteger() || field.isBoolean())
    {
        return false;
    }
    const auto number = field.convert<Poco::Int64>();
    if (number < 0 || number > std::numeric_limits<std::uint32_t>::max())
    {
        return false;
    }
    value = static_cast<std::uint32_t>(number);
    return true;
}

absl::Status wrong_field(const char* name, const char* type)
{
    return make_error(
        error_kind::invalid_request,
        fmt::format("the field \"{}\" must be {}", name, type));
}

absl::StatusOr<chat_request> read_fields(const Object& object)
{
    chat_request result;
    std::string user;
    if (!read_string(object, "model", result.model) || result.model.empty())
    {
        return wrong_field("model", "the name of a model");
    }
    if (!read_string(object, "conversation", result.chat))
    {
        return wrong_field("conversation", "a string");
    }
    if (!read_string(object, "user", user))
    {
        return wrong_field("user", "a string");
    }
    if (!read_flag(object, "stream", result.stream))
    {
        return wrong_field("stream", "true or false");
    }
    if (!read_count(object, "max_tokens", result.max_tokens))
    {
        return wrong_field("max_tokens", "a number of tokens");
    }
    if (result.chat.empty())
    {
        result.chat = user;
    }
    return result;
}

} // namespace

absl::StatusOr<chat_request>
parse_chat_request(const std::string& body, std::size_t depth_limit)
{
    try
    {
        Poco::JSON::Parser parser;
        parser.setDepth(depth_limit);
        const auto root = parser.parse(body);
        if (root.type() == typeid(Object::Ptr))
        {
            return read_fields(*root.extract<Object::Ptr>());
        }
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "the body is no valid JSON: {}; send one JSON object",
                error.displayText()));
    }
    return make_error(
        error_kind::invalid_request,
        "the body is no JSON object; send one JSON object");
}

} // namespace hickorygap
