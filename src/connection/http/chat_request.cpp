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

// The read functions leave `value` unchanged when the field is missing or
// null, and return false when it has another type or is out of range.
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

bool read_bool(const Object& object, const char* name, bool& value)
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

bool read_uint32(const Object& object, const char* name, std::uint32_t& value)
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

absl::Status wrong_field_type(const char* name, const char* type)
{
    return make_error(
        error_kind::invalid_request,
        fmt::format("the field \"{}\" must be {}", name, type));
}

absl::StatusOr<chat_request> read_fields(const Object& object)
{
    chat_request request;
    std::string user;
    if (!read_string(object, "model", request.model) || request.model.empty())
    {
        return wrong_field_type("model", "the name of a model");
    }
    if (!read_string(object, "conversation", request.chat))
    {
        return wrong_field_type("conversation", "a string");
    }
    if (!read_string(object, "user", user))
    {
        return wrong_field_type("user", "a string");
    }
    if (!read_bool(object, "stream", request.stream))
    {
        return wrong_field_type("stream", "true or false");
    }
    if (!read_uint32(object, "max_tokens", request.max_tokens))
    {
        return wrong_field_type("max_tokens", "a number of tokens");
    }
    if (request.chat.empty())
    {
        request.chat = user;
    }
    return request;
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
