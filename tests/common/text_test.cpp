#include "common/compression.hpp"
#include "common/text.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace hickorygap;

// Guards against empty parts that are lost, parts that are joined, inner blanks
// that are removed, and a prefix that compares equal.
TEST_CASE("texts are split and stripped and compared")
{
    CHECK(split("a,,b", ',') == std::vector<std::string_view>{"a", "", "b"});
    CHECK(split("", ',') == std::vector<std::string_view>{""});
    CHECK(strip(" \ta b ") == "a b");
    CHECK(strip("  ").empty());
    CHECK(equals_ignoring_case("Keep-Alive", "keep-alive"));
    CHECK_FALSE(equals_ignoring_case("keep", "keep-alive"));
}

// Guards against accepting empty, signed, padded or partly numeric text, or a
// number that is out of range.
TEST_CASE("only a text that is a number as a whole is parsed")
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

// Guards against decompressing damaged data to another text, and against a
// decompressed text above the limit that exhausts memory.
TEST_CASE("a compressed text is decompressed completely or refused")
{
    const std::string text(100000, 'a');
    const auto compressed = compress(text);
    CHECK(compressed.size() < 1000);
    REQUIRE(decompress(compressed, text.size()).ok());
    CHECK(*decompress(compressed, text.size()) == text);
    CHECK_FALSE(decompress(compressed, text.size() - 1).ok());
    auto damaged = compressed;
    damaged[damaged.size() / 2] ^= 0xFFU;
    CHECK_FALSE(decompress(damaged, text.size()).ok());
    CHECK_FALSE(decompress({}, 10).ok());
    CHECK(decompress(compress(""), 10).value() == "");
}

// Guards against decompressing with a reference other than the one used for
// compression, which would give a wrong text.
TEST_CASE("a text compressed with a reference needs the same reference")
{
    std::string reference;
    for (int i = 0; i < 20000; ++i)
    {
        reference += std::to_string(i * 7919);
    }
    std::string text = reference;
    text.replace(50000, 3, "new");
    const auto compressed = compress(text, reference);
    CHECK(compressed.size() < 200);
    CHECK(*decompress(compressed, text.size(), reference) == text);
    CHECK_FALSE(decompress(compressed, text.size()).ok());
    reference[60000] = 'x';
    CHECK_FALSE(decompress(compressed, text.size(), reference).ok());
}
