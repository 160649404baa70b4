#include "common/compression.hpp"
#include "common/text.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace hickorygap;

// Guards against parts that are lost or joined.
TEST_CASE("texts are split, stripped and compared")
{
    CHECK(split("a,,b", ',') == std::vector<std::string_view>{"a", "", "b"});
    CHECK(split("", ',') == std::vector<std::string_view>{""});
    CHECK(strip(" \ta b ") == "a b");
    CHECK(strip("  ").empty());
    CHECK(equals_ignoring_case("Keep-Alive", "keep-alive"));
    CHECK_FALSE(equals_ignoring_case("keep", "keep-alive"));
}

// Guards against texts that are taken for numbers.
TEST_CASE("only whole texts are numbers")
{
    const auto [text, valid] = GENERATE(table<std::string, bool>(
        {{"12", true},
         {"", false},
         {"1x", false},
         {" 1", false},
         {"-1", false},
         {"4294967296", false}}));
    std::uint32_t number = 7;
    CHECK(parse_number(text, number) == valid);
}

// Guards against a damaged document that is taken for a shorter one, and
// against one that fills the memory.
TEST_CASE("compressed texts come back whole or not at all")
{
    const std::string text(100000, 'a');
    const auto packed = compress(text);
    CHECK(packed.size() < 1000);
    REQUIRE(decompress(packed, text.size()).ok());
    CHECK(*decompress(packed, text.size()) == text);
    CHECK_FALSE(decompress(packed, text.size() - 1).ok());
    auto damaged = packed;
    damaged[damaged.size() / 2] ^= 0xFFU;
    const auto read = decompress(damaged, text.size());
    CHECK((!read.ok() || *read != text));
    CHECK(decompress(compress(""), 10).value() == "");
}
