#include "common/file_io.hpp"

#include "common/error.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace hickorygap
{

std::vector<std::uint8_t> read_file(const std::string& path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    std::ifstream file{path, std::ios::binary};
    if (error || !file)
    {
        return {};
    }
    std::vector<std::uint8_t> data(size);
    file.read(
        reinterpret_cast<char*>(data.data()),
        static_cast<std::streamsize>(size));
    data.resize(static_cast<std::size_t>(file.gcount()));
    return data;
}

std::optional<std::uint64_t>
file_number(std::string_view name, std::string_view prefix)
{
    if (!name.starts_with(prefix))
    {
        return std::nullopt;
    }
    name.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc{} || end != name.data() + name.size())
    {
        return std::nullopt;
    }
    return number;
}

bool write_all(int file, std::span<const std::uint8_t> data, off_t offset)
{
    while (!data.empty())
    {
        const ssize_t written =
            ::pwrite(file, data.data(), data.size(), offset);
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written <= 0)
        {
            return false;
        }
        data = data.subspan(static_cast<std::size_t>(written));
        offset += written;
    }
    return true;
}

bool sync_folder(const std::string& folder)
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
    {
        return false;
    }
    const bool is_synced = ::fsync(file) == 0;
    const int error = errno;
    ::close(file);
    errno = error;
    return is_synced;
}

absl::Status file_error(std::string_view action, std::string_view file)
{
    return make_error(
        error_kind::storage_failed,
        fmt::format(
            "can't {} {}: {}; free space on the disk or repair it, the voter "
            "resumes by itself",
            action, file, std::generic_category().message(errno)));
}

} // namespace hickorygap
