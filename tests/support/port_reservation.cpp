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
constexpr std::uint16_t block_count = 200;
constexpr std::uint16_t ports_per_block = 100;

std::string lock_folder()
{
    return (std::filesystem::temp_directory_path() / "hickorygap-test-ports")
        .string();
}

// Returns the descriptor of the locked file, or -1 when another process holds
// the lock.
int try_lock(const std::string& file)
{
    constexpr int readable_and_writable = 0666;
    const int descriptor = ::open(
        file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, readable_and_writable);
    if (descriptor < 0)
    {
        throw std::runtime_error{fmt::format(
            "can't open lock file {}: {}; check the owner of its folder", file,
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
    if (ports_left_ == 0)
    {
        lock_block();
    }
    --ports_left_;
    return next_port_++;
}

void port_reservation::lock_block()
{
    const std::string folder = lock_folder();
    std::filesystem::create_directories(folder);
    // Starting at the process id keeps processes that start together from
    // contending for the same blocks.
    const auto start = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t i = 0; i < block_count; ++i)
    {
        const std::uint32_t block = (start + i) % block_count;
        const int lock = try_lock(fmt::format("{}/{}", folder, block));
        if (lock >= 0)
        {
            locks_.push_back(lock);
            next_port_ = static_cast<std::uint16_t>(
                lowest_port + block * ports_per_block);
            ports_left_ = ports_per_block;
            return;
        }
    }
    throw std::runtime_error{fmt::format(
        "all {} blocks of test ports are locked by other processes; end some "
        "test "
        "processes",
        block_count)};
}

} // namespace hickorygap::test
