#include "common/hashing.hpp"

#include <Poco/SHA2Engine.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace hickorygap
{

namespace
{

digest finish(Poco::SHA2Engine& engine)
{
    const Poco::DigestEngine::Digest& bytes = engine.digest();
    digest result{};
    std::copy_n(bytes.begin(), result.size(), result.begin());
    return result;
}

std::uint64_t nonzero(std::uint64_t value)
{
    return value == 0 ? 1 : value;
}

} // namespace

std::uint64_t hash_name(std::string_view name)
{
    return nonzero(XXH3_64bits(name.data(), name.size()));
}

chat_id hash_chat(organisation_id organisation, std::string_view chat)
{
    return nonzero(
        XXH3_64bits_withSeed(chat.data(), chat.size(), organisation));
}

std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node)
{
    return XXH3_64bits_withSeed(&key, sizeof key, node);
}

digest sha256(std::span<const std::uint8_t> data)
{
    Poco::SHA2Engine engine;
    engine.update(data.data(), data.size());
    return finish(engine);
}

digest sha256(std::string_view data)
{
    Poco::SHA2Engine engine;
    engine.update(data.data(), data.size());
    return finish(engine);
}

digest chain_digest(const digest& previous, std::span<const std::uint8_t> data)
{
    Poco::SHA2Engine engine;
    engine.update(previous.data(), previous.size());
    engine.update(data.data(), data.size());
    return finish(engine);
}

std::string to_hex(std::span<const std::uint8_t> data)
{
    return fmt::format("{:02x}", fmt::join(data, ""));
}

std::optional<digest> parse_digest(std::string_view text)
{
    constexpr int hexadecimal = 16;
    digest result{};
    if (text.size() != result.size() * 2)
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < result.size(); ++i)
    {
        const char* first = text.data() + 2 * i;
        const auto [end, error] =
            std::from_chars(first, first + 2, result.at(i), hexadecimal);
        if (error != std::errc{} || end != first + 2)
        {
            return std::nullopt;
        }
    }
    return result;
}

} // namespace hickorygap
