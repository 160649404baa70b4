#include "common/address.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace hickorygap;

// Guards against an address that is read to another one than the text says, in
// part or with its port cut to 16 bits, and against a host with a NUL byte,
// after which the system's functions read nothing.
TEST_CASE("an address is read as a whole or refused")
{
    const auto [text, address] =
        GENERATE(table<std::string, std::optional<numeric_address>>({
            {"10.0.0.9:65535", numeric_address{"10.0.0.9", 65535}},
            {"[::1]:80", numeric_address{"::1", 80}},
            {"10.0.0.9:0", {}},
            {"10.0.0.9:65536", {}},
            {"10.0.0.9:4294967376", {}},
            {"10.0.0.9:-1", {}},
            {"10.0.0.9:+80", {}},
            {"10.0.0.9: 80", {}},
            {"10.0.0.9:", {}},
            {"10.0.0.9", {}},
            {"10.0.0.256:80", {}},
            {"::1:80", {}},
            {"[10.0.0.9]:80", {}},
            {std::string{"10.0.0.9\0x:80", 13}, {}},
            {std::string{"10.0.0.9:80\0", 12}, {}},
        }));
    CAPTURE(text);
    const auto read = parse_address(text);
    REQUIRE(read.ok() == address.has_value());
    if (address)
    {
        CHECK(*read == *address);
    }
}
