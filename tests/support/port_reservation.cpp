#include "support/port_reservation.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>

namespace hickorygap::test
{

namespace
{

constexpr std::uint16_t lowest_port = 10000;
constexpr std::uint16_t blocks = 200;
constexpr std::uint16_t ports_of_block = 100;

std::string lock_folder()
{
    return (std::filesystem::temp_directory_path() / "hickorygap-test-ports")
        .string();
}

// Descriptor of the locked file, or -1 when another process has it.
int try_lock(const std::string& file)
{
    constexpr int readable_and_writable = 0666;
    const int descriptor = ::open(
        file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, readable_and_writable);
    if (descriptor < 0)
    {
        throw std::runtime_error{fmt::format(
            "can't open {}: {}; check who owns its folder", file,
            std::strerror(errno))};
    }
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

port_reservation::~port_reservation()
{
    for (const int lock : locks_)
    {
        ::close(lock);
    }
}

std::uint16_t port_reservation::next()
{
    if (left_ == 0)
    {
        take_block();
    }
    --left_;
    return next_++;
}

void port_reservation::take_block()
{
    const std::string folder = lock_folder();
    std::filesystem::create_directories(folder);
    // Processes that start together don't ask for the same blocks.
    const auto start = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t i = 0; i < blocks; ++i)
    {
        const std::uint32_t block = (start + i) % blocks;
        const int lock = try_lock(fmt::format("{}/{}", folder, block));
        if (lock >= 0)
        {
            locks_.push_back(lock);
            next_ = static_cast<std::uint16_t>(
                lowest_port + block * ports_of_block);
            left_ = ports_of_block;
            return;
        }
    }
    throw std::runtime_error{fmt::format(
        "all {} blocks of ports are in use; end some test processes", blocks)};
}

} // namespace hickorygap::test
