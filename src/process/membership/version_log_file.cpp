#include "process/membership/version_log_file.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>

namespace hickorygap
{

namespace
{

// Header of a record: its length and its xxHash checksum, little-endian.
constexpr std::size_t header_size =
    sizeof(std::uint32_t) + sizeof(std::uint64_t);

// Tickets are much smaller; a larger length means that the file is damaged.
constexpr std::uint32_t max_record_size = 64U << 20U;

constexpr mode_t file_mode = 0600;

absl::Status make_storage_error(
    std::string_view action, const std::filesystem::path& path, int error)
{
    return make_error(
        error_kind::storage_failed,
        fmt::format(
            "can't {} {} ({}); check the disk's space and the folder's "
            "permissions",
            action, path.string(), std::strerror(error)));
}

template <typename Integer>
void append_little_endian(std::vector<std::uint8_t>& output, Integer value)
{
    for (std::size_t i = 0; i < sizeof value; ++i)
    {
        output.push_back(static_cast<std::uint8_t>(value >> (8U * i)));
    }
}

template <typename Integer>
Integer read_little_endian(std::span<const std::uint8_t> data)
{
    Integer value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
    {
        value |= static_cast<Integer>(data[i]) << (8U * i);
    }
    return value;
}

std::uint64_t checksum(std::span<const std::uint8_t> record)
{
    return XXH3_64bits(record.data(), record.size());
}

void append_record(
    std::vector<std::uint8_t>& output, const version_document& document)
{
    const auto record = encode_table<wire::version_entry>(to_wire(document));
    append_little_endian(output, static_cast<std::uint32_t>(record.size()));
    append_little_endian(output, checksum(record));
    output.insert(output.end(), record.begin(), record.end());
}

// Returns the record at the start of the data; nothing when it is damaged or
// incomplete.
std::optional<std::span<const std::uint8_t>>
first_record(std::span<const std::uint8_t> data)
{
    if (data.size() < header_size)
    {
        return std::nullopt;
    }
    const auto size = read_little_endian<std::uint32_t>(data);
    const auto sum =
        read_little_endian<std::uint64_t>(data.subspan(sizeof(std::uint32_t)));
    if (size > max_record_size || data.size() - header_size < size)
    {
        return std::nullopt;
    }
    const auto record = data.subspan(header_size, size);
    return checksum(record) == sum ? std::optional{record} : std::nullopt;
}

// Whether an intact record starts at any later offset. If so, the damage is not
// the result of an interrupted append.
bool has_record_after(std::span<const std::uint8_t> data)
{
    for (std::size_t i = 1; i + header_size < data.size(); ++i)
    {
        const auto record = first_record(data.subspan(i));
        if (record && !record->empty() &&
            decode_table<wire::version_entry>(*record).ok())
        {
            return true;
        }
    }
    return false;
}

absl::StatusOr<std::vector<std::uint8_t>>
read_all(int descriptor, const std::filesystem::path& path)
{
    struct stat information
    {
    };
    if (::fstat(descriptor, &information) != 0)
    {
        return make_storage_error("read", path, errno);
    }
    std::vector<std::uint8_t> data(
        static_cast<std::size_t>(information.st_size));
    std::size_t done = 0;
    while (done < data.size())
    {
        const ssize_t count = ::pread(
            descriptor, data.data() + done, data.size() - done,
            static_cast<off_t>(done));
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return make_storage_error("read", path, count < 0 ? errno : EIO);
        }
        done += static_cast<std::size_t>(count);
    }
    return data;
}

// Syncs the folder of a file, which makes the name of a new file durable.
absl::Status sync_parent_folder(const std::filesystem::path& path)
{
    std::filesystem::path folder = path.parent_path();
    if (folder.empty())
    {
        folder = ".";
    }
    const int descriptor =
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
    {
        return make_storage_error("open", folder, errno);
    }
    const int result = ::fsync(descriptor);
    const int error = errno;
    ::close(descriptor);
    return result == 0 ? absl::OkStatus()
                       : make_storage_error("sync", folder, error);
}

} // namespace

version_log_file::version_log_file(int descriptor, std::filesystem::path path)
    : descriptor_{descriptor}
    , path_{std::move(path)}
{
}

version_log_file::~version_log_file()
{
    ::close(descriptor_);
}

absl::StatusOr<std::unique_ptr<version_log_file>>
version_log_file::open(const std::filesystem::path& path)
{
    const int descriptor =
        ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (descriptor < 0)
    {
        return make_storage_error("open", path, errno);
    }
    std::unique_ptr<version_log_file> file{
        new version_log_file{descriptor, path}};
    if (absl::Status status = sync_parent_folder(path); !status.ok())
    {
        return status;
    }
    if (absl::Status status = file->load(); !status.ok())
    {
        return status;
    }
    return file;
}

absl::Status version_log_file::load()
{
    const auto data = read_all(descriptor_, path_);
    if (!data.ok())
    {
        return data.status();
    }
    std::span<const std::uint8_t> rest{*data};
    while (!rest.empty())
    {
        const auto record = first_record(rest);
        const auto entry = record ? decode_table<wire::version_entry>(*record)
                                  : absl::StatusOr<wire::version_entry_msg>{};
        if (!record || !entry.ok())
        {
            break;
        }
        documents_.push_back(from_wire(*entry));
        last_version_ = documents_.back().version;
        rest = rest.subspan(header_size + record->size());
    }
    size_ = data->size() - rest.size();
    if (rest.empty())
    {
        return absl::OkStatus();
    }
    if (has_record_after(rest))
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format(
                "{} is damaged after version {}; replace the disk and start "
                "with an empty data folder, the documents are fetched again",
                path_.string(), last_version_));
    }
    log(log_level::warning, subsystem::storage,
        "incomplete record cut off file={} version={} bytes={}", path_.string(),
        last_version_, rest.size());
    if (::ftruncate(descriptor_, static_cast<off_t>(size_)) != 0 ||
        ::fsync(descriptor_) != 0)
    {
        return make_storage_error("truncate", path_, errno);
    }
    return absl::OkStatus();
}

std::vector<version_document> version_log_file::take_documents()
{
    return std::exchange(documents_, {});
}

absl::Status
version_log_file::append(std::span<const version_document_ptr> documents)
{
    std::vector<std::uint8_t> bytes;
    configuration_version last = last_version_;
    for (const version_document_ptr& document : documents)
    {
        if (document->version <= last)
        {
            continue;
        }
        if (document->version != last + 1)
        {
            return make_error(
                error_kind::invalid_request,
                fmt::format(
                    "version {} does not follow version {} in {}; append the "
                    "versions in order",
                    document->version, last, path_.string()));
        }
        append_record(bytes, *document);
        last = document->version;
    }
    if (bytes.empty())
    {
        return absl::OkStatus();
    }
    if (absl::Status status = write_at_end(bytes); !status.ok())
    {
        // Removes a partly written record: after a later append it would look
        // like damage in the middle of the file.
        if (::ftruncate(descriptor_, static_cast<off_t>(size_)) != 0)
        {
            log(log_level::error, subsystem::storage,
                "truncate failed file={} error={}", path_.string(),
                std::strerror(errno));
        }
        return status;
    }
    size_ += bytes.size();
    last_version_ = last;
    return absl::OkStatus();
}

absl::Status version_log_file::write_at_end(std::span<const std::uint8_t> bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        const ssize_t count = ::pwrite(
            descriptor_, bytes.data() + done, bytes.size() - done,
            static_cast<off_t>(size_ + done));
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return make_storage_error("write", path_, count < 0 ? errno : EIO);
        }
        done += static_cast<std::size_t>(count);
    }
    if (::fsync(descriptor_) != 0)
    {
        return make_storage_error("sync", path_, errno);
    }
    return absl::OkStatus();
}

} // namespace hickorygap
