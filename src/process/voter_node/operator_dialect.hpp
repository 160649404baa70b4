#ifndef HICKORYGAP_PROCESS_VOTER_NODE_OPERATOR_DIALECT_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_OPERATOR_DIALECT_HPP

#include <Poco/Net/HTTPRequest.h>

#include <string>

namespace hickorygap
{

// Action that an operator requests of a voter.
enum class operator_action
{
    // File the configuration in the request body.
    file_configuration,

    // Return the newest configuration.
    read_configuration,

    // Send nothing more to the backend servers of a failure domain, or send
    // requests to them again.
    evacuate,
    end_evacuation,
    unknown
};

// Maps HTTP requests of operators to actions; implemented by the platform.
class operator_dialect
{
public:
    operator_dialect() = default;
    operator_dialect(const operator_dialect&) = delete;
    operator_dialect& operator=(const operator_dialect&) = delete;
    virtual ~operator_dialect() = default;

    virtual operator_action
    action_of(const Poco::Net::HTTPRequest& request) const = 0;

    // The failure domain that a request to evacuate names, or to end that.
    virtual std::string
    failure_domain_of(const Poco::Net::HTTPRequest& request) const = 0;
};

} // namespace hickorygap

#endif
