#ifndef HICKORYGAP_TESTS_SUPPORT_TEST_CONFIGURATION_HPP
#define HICKORYGAP_TESTS_SUPPORT_TEST_CONFIGURATION_HPP

#include "version/configuration/configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorygap::testing
{

struct test_server
{
    std::string name;
    std::string service;
    std::uint16_t port = 0;
};

// Services: engine "report-7b", repeatable "calculator" (target of rank
// background: 1 ms), non-repeatable "booking". Organisations: "diarroi" (key
// "key-diarroi", highest rank urgent) and "tenant" (key "key-tenant", highest
// rank normal).
configuration_ptr make_test_configuration(std::vector<test_server> servers);

} // namespace hickorygap::testing

#endif
