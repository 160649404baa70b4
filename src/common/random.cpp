#include "common/random.hpp"

namespace hickorygap
{

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

std::uint64_t random_below(random_engine& engine, std::uint64_t bound)
{
    // The modulo bias is below 2^-40 for the bounds used here (under 2^24).
    // std::uniform_int_distribution differs between standard libraries, so a
    // seed would not reproduce the same run on every machine.
    return engine() % bound;
}

} // namespace hickorygap
