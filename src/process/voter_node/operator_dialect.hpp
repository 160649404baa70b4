#ifndef HICKORYGAP_PROCESS_VOTER_NODE_OPERATOR_DIALECT_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_OPERATOR_DIALECT_HPP

#include <Poco/Net/HTTPRequest.h>

namespace hickorygap
{

// What an operator asks of a voter.
enum class operator_action
{
    // The body is a configuration to file.
    file_configuration,

    // Asks for the newest configuration.
    read_configuration,
    unknown
};

// Names of the operators' calls.
class operator_dialect
{
public:
    operator_dialect() = default;
    operator_dialect(const operator_dialect&) = delete;
    operator_dialect& operator=(const operator_dialect&) = delete;
    virtual ~operator_dialect() = default;

    virtual operator_action
    action_of(const Poco::Net::HTTPRequest& request) const = 0;
};

} // namespace hickorygap

#endif
