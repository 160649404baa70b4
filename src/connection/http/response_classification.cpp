#include "connection/http/response_classification.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPResponse;

// Whether the object says "not_run": true. POCO converts any text, number or
// list to a truth value, so the type is checked.
bool says_not_run(const Poco::JSON::Object& object)
{
    const Poco::Dynamic::Var value = object.get("not_run");
    return value.isBoolean() && value.extract<bool>();
}

bool has_not_run_flag(const std::string& body)
{
    try
    {
        Poco::JSON::Parser parser;
        const auto root = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        if (says_not_run(*root))
        {
            return true;
        }
        const auto error = root->getObject("error");
        return !error.isNull() && says_not_run(*error);
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

} // namespace

bool is_possible_refusal(std::uint16_t status)
{
    return status == HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
           status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}

bool is_refused_before_start(std::uint16_t status, const std::string& body)
{
    return status == HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
           (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
            has_not_run_flag(body));
}

bool is_gateway_failure(std::uint16_t status)
{
    return status == HTTPResponse::HTTP_BAD_GATEWAY ||
           status == HTTPResponse::HTTP_GATEWAY_TIMEOUT;
}

} // namespace hickorygap
