#include "process/decision_record/decision_store.hpp"

#include "common/error.hpp"
#include "common/file_io.hpp"
#include "common/logging.hpp"
#include "process/decision_record/record_frames.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace hickorygap
{

namespace
{

namespace fs = std::filesystem;

constexpr const char* record_extension = "records";
constexpr const char* index_extension = "index";
constexpr const char* index_format = "decision-index-1";
constexpr std::string_view file_prefix = "decisions-";

// Returns the number in the name of a file of records; zero for other files.
std::uint64_t number_of(const fs::path& path)
{
    const std::string name = path.stem().string();
    std::uint64_t number = 0;
    if (path.extension() != std::string{"."} + record_extension ||
        !name.starts_with(file_prefix) ||
        std::sscanf(name.c_str() + file_prefix.size(), "%lu", &number) != 1)
    {
        return 0;
    }
    return number;
}

absl::Status sync_record_folder(const std::string& folder)
{
    if (!sync_folder(folder))
    {
        return make_error(
            error_kind::storage_failed,
            fmt::format(
                "the folder {} can't be synced: {}; check the disk", folder,
                std::strerror(errno)));
    }
    return absl::OkStatus();
}

bool matches(const decision_query& query, const wire::decision_record& record)
{
    return (query.chat == 0 || record.chat() == query.chat) &&
           (query.organisation == 0 ||
            record.organisation() == query.organisation) &&
           record.unix_ms() >= query.from && record.unix_ms() <= query.to;
}

void sort_oldest_first(std::vector<stored_decision>& decisions)
{
    std::sort(
        decisions.begin(), decisions.end(),
        [](const stored_decision& left, const stored_decision& right)
        {
            const auto order = [](const stored_decision& entry)
            {
                return std::tuple{
                    entry.record.unix_ms, entry.instance, entry.incarnation,
                    entry.sequence, entry.record.request};
            };
            return order(left) < order(right);
        });
}

// Cuts the list down to the oldest `limit` records and sets `truncated` when
// there were more.
void truncate_to_oldest(decision_list& list, std::size_t limit)
{
    if (list.decisions.size() > limit)
    {
        sort_oldest_first(list.decisions);
        list.decisions.resize(limit);
        list.truncated = true;
    }
}

void append_matches(
    const decision_query& query, std::span<const std::uint8_t> content,
    decision_list& list)
{
    // verify() reports batches that can't be decoded.
    const auto* batch = verified_table<wire::decision_batch>(content);
    if (batch == nullptr || batch->records() == nullptr)
    {
        return;
    }
    for (const wire::decision_record* record : *batch->records())
    {
        if (matches(query, *record))
        {
            stored_decision found{
                batch->instance(), batch->incarnation(), batch->sequence(), {}};
            record->UnPackTo(&found.record);
            list.decisions.push_back(std::move(found));
        }
    }
    // Bounds memory; the excess allowed makes sorting rare.
    constexpr std::size_t max_excess_records = 10'000;
    if (list.decisions.size() > query.limit + max_excess_records)
    {
        truncate_to_oldest(list, query.limit);
    }
}

} // namespace

decision_store::decision_store(std::string folder, options limits)
    : folder_(std::move(folder))
    , limits_(limits)
{
}

decision_store::~decision_store()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
    }
}

absl::StatusOr<std::unique_ptr<decision_store>>
decision_store::open(const std::string& folder, options limits)
{
    std::unique_ptr<decision_store> store{new decision_store{folder, limits}};
    if (auto status = store->load(); !status.ok())
    {
        return status;
    }
    return store;
}

absl::Status decision_store::append(const wire::decision_batch_msg& batch)
{
    const auto segment = segment_of(batch);
    const chain_index::chain_key key{batch.instance, batch.incarnation};
    const std::lock_guard lock{mutex_};
    if (failed_)
    {
        return storage_error("writing decision records");
    }
    const auto result = segment ? index_.check(key, *segment)
                                : chain_index::add_result::mismatch;
    if (result == chain_index::add_result::mismatch)
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "decision batch {} of instance {} doesn't match its hash "
                "chain; check that all instances run the same release",
                batch.sequence, batch.instance));
    }
    if (result == chain_index::add_result::added)
    {
        if (files_.back().bytes >= limits_.file_bytes)
        {
            if (auto status = rotate(); !status.ok())
            {
                return status;
            }
        }
        const auto frame =
            make_frame(encode_table<wire::decision_batch>(batch));
        if (auto status = write_all(frame); !status.ok())
        {
            return status;
        }
        record_file& file = files_.back();
        file.bytes += frame.size();
        for (const auto& record : batch.records)
        {
            file.first_time = std::min(file.first_time, record->unix_ms);
            file.last_time = std::max(file.last_time, record->unix_ms);
        }
        file.index.add(key, *segment);
        index_.add(key, *segment);
    }
    wire::decision_batch_ack_msg acknowledgement;
    acknowledgement.instance = batch.instance;
    acknowledgement.incarnation = batch.incarnation;
    acknowledgement.sequence = batch.sequence;
    unsynced_.push_back(acknowledgement);
    return absl::OkStatus();
}

absl::StatusOr<std::vector<wire::decision_batch_ack_msg>> decision_store::sync()
{
    const std::lock_guard lock{mutex_};
    if (unsynced_.empty())
    {
        return std::vector<wire::decision_batch_ack_msg>{};
    }
    auto unsynced = std::exchange(unsynced_, {});
    if (auto status = sync_last_file(); !status.ok())
    {
        return status;
    }
    return unsynced;
}

absl::StatusOr<decision_list>
decision_store::query(const decision_query& query) const
{
    decision_list result;
    for (const record_file& file : file_list())
    {
        if (file.first_time > query.to || file.last_time < query.from)
        {
            continue;
        }
        auto data = read_file(path_of(file.number, record_extension));
        data.resize(std::min<std::size_t>(data.size(), file.bytes));
        read_frames(
            data, [&](std::span<const std::uint8_t> content)
            { append_matches(query, content, result); });
    }
    truncate_to_oldest(result, query.limit);
    sort_oldest_first(result.decisions);
    result.gaps = index().gaps();
    return result;
}

absl::StatusOr<store_verification> decision_store::verify() const
{
    store_verification result;
    chain_index seen;
    for (const record_file& file : file_list())
    {
        const std::string path = path_of(file.number, record_extension);
        const auto data = read_file(path);
        const auto check = [&](std::span<const std::uint8_t> content)
        {
            const auto batch = decode_table<wire::decision_batch>(content);
            const auto segment = batch.ok() ? segment_of(*batch) : std::nullopt;
            if (!segment ||
                seen.add({batch->instance, batch->incarnation}, *segment) !=
                    chain_index::add_result::added)
            {
                result.corruptions.push_back(fmt::format(
                    "{}: batch {} of the file was altered", path,
                    result.batches + 1));
                return;
            }
            ++result.batches;
            result.records += batch->records.size();
        };
        const frames_result frames = read_frames(data, check);
        // Appends go on during the check, so the last file may be longer than
        // file.bytes.
        if (frames.valid_bytes < file.bytes)
        {
            result.corruptions.push_back(fmt::format(
                "{}: only {} of {} bytes written are valid", path,
                frames.valid_bytes, file.bytes));
        }
        else if (frames.tail == frames_tail::damaged)
        {
            result.corruptions.push_back(fmt::format(
                "{}: the frame at byte offset {} is damaged", path,
                frames.valid_bytes));
        }
    }
    result.gaps = seen.gaps();
    return result;
}

chain_index decision_store::index() const
{
    const std::lock_guard lock{mutex_};
    return index_;
}

absl::Status decision_store::load()
{
    std::error_code error;
    fs::create_directories(folder_, error);
    std::vector<std::uint64_t> numbers;
    for (fs::directory_iterator entry{folder_, error}, end;
         !error && entry != end; entry.increment(error))
    {
        if (const std::uint64_t number = number_of(entry->path()); number != 0)
        {
            numbers.push_back(number);
        }
    }
    if (error)
    {
        return make_error(
            error_kind::storage_failed,
            fmt::format(
                "the folder {} of decision records can't be opened: {}; check "
                "that it exists and is writable",
                folder_, error.message()));
    }
    std::sort(numbers.begin(), numbers.end());
    frames_tail last_tail = frames_tail::clean;
    for (const std::uint64_t number : numbers)
    {
        record_file file;
        file.number = number;
        if (number == numbers.back() || !read_index(file))
        {
            last_tail = scan(file);
        }
        if (!index_.merge(file.index))
        {
            log(log_level::error, subsystem::storage,
                "decision records don't match their hash chain file={}; verify "
                "the store",
                path_of(number, record_extension));
        }
        files_.push_back(std::move(file));
    }
    return files_.empty() ? start_file(1) : open_last_file(last_tail);
}

absl::Status decision_store::open_last_file(frames_tail tail)
{
    const record_file& file = files_.back();
    const std::string path = path_of(file.number, record_extension);
    if (tail == frames_tail::damaged)
    {
        // The file is kept unchanged, so that the damage can be examined.
        log(log_level::error, subsystem::storage,
            "decision records damaged file={} byte={}; appending to a new file",
            path, file.bytes);
        return start_file(file.number + 1);
    }
    descriptor_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (descriptor_ < 0 ||
        ::ftruncate(descriptor_, static_cast<off_t>(file.bytes)) != 0)
    {
        return storage_error("opening the last file of decision records");
    }
    return absl::OkStatus();
}

frames_tail decision_store::scan(record_file& file) const
{
    const auto data = read_file(path_of(file.number, record_extension));
    const frames_result frames = read_frames(
        data,
        [&](std::span<const std::uint8_t> content)
        {
            const auto batch = decode_table<wire::decision_batch>(content);
            const auto segment = batch.ok() ? segment_of(*batch) : std::nullopt;
            if (!segment)
            {
                return;
            }
            file.index.add({batch->instance, batch->incarnation}, *segment);
            for (const auto& record : batch->records)
            {
                file.first_time = std::min(file.first_time, record->unix_ms);
                file.last_time = std::max(file.last_time, record->unix_ms);
            }
        });
    file.bytes = frames.valid_bytes;
    return frames.tail;
}

absl::Status decision_store::start_file(std::uint64_t number)
{
    const std::string path = path_of(number, record_extension);
    constexpr mode_t owner_and_group = 0640;
    const int descriptor = ::open(
        path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC,
        owner_and_group);
    if (descriptor < 0)
    {
        return storage_error("creating a file of decision records");
    }
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
    }
    descriptor_ = descriptor;
    record_file file;
    file.number = number;
    files_.push_back(std::move(file));
    return sync_record_folder(folder_);
}

// After a failed fdatasync the kernel may have discarded the data, and a second
// fdatasync would report success.
absl::Status decision_store::sync_last_file()
{
    if (!failed_ && ::fdatasync(descriptor_) == 0)
    {
        return absl::OkStatus();
    }
    // Before failed_ is set: the first error names its cause.
    absl::Status status = storage_error("syncing decision records");
    failed_ = true;
    return status;
}

absl::Status decision_store::rotate()
{
    if (auto status = sync_last_file(); !status.ok())
    {
        return status;
    }
    if (auto status = write_index(files_.back()); !status.ok())
    {
        return status;
    }
    return start_file(files_.back().number + 1);
}

absl::Status decision_store::write_all(const std::vector<std::uint8_t>& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        const ssize_t result = ::write(
            descriptor_, bytes.data() + written, bytes.size() - written);
        if (result < 0 && errno == EINTR)
        {
            continue;
        }
        if (result < 0)
        {
            absl::Status status = storage_error("writing decision records");
            // Remove the partial frame, so that a later frame can follow when
            // the disk has space again.
            if (::ftruncate(
                    descriptor_, static_cast<off_t>(files_.back().bytes)) != 0)
            {
                failed_ = true;
            }
            return status;
        }
        written += static_cast<std::size_t>(result);
    }
    return absl::OkStatus();
}

absl::Status decision_store::write_index(const record_file& file) const
{
    std::string text = fmt::format(
        "{} {} {} {}\n", index_format, file.bytes, file.first_time,
        file.last_time);
    for (const auto& [key, segments] : file.index.chains())
    {
        for (const auto& [first, segment] : segments)
        {
            text += fmt::format(
                "{} {} {} {} {} {} {}\n", key.first, key.second, first,
                segment.last, segment.closes_chain ? 1 : 0,
                to_hex(segment.previous), to_hex(segment.chain));
        }
    }
    // An index file that was written in part fails the checksum and is ignored.
    text += fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
    std::ofstream out{
        path_of(file.number, index_extension),
        std::ios::binary | std::ios::trunc};
    if (!(out << text) || !out.flush())
    {
        return make_error(
            error_kind::storage_failed,
            fmt::format(
                "the index of a file of decision records can't be written in "
                "{}; free space on the disk",
                folder_));
    }
    return absl::OkStatus();
}

bool decision_store::read_index(record_file& file) const
{
    constexpr std::size_t checksum_digits = 16;
    const auto bytes = read_file(path_of(file.number, index_extension));
    const std::string text{bytes.begin(), bytes.end()};
    if (text.size() < checksum_digits)
    {
        return false;
    }
    const std::size_t length = text.size() - checksum_digits;
    if (fmt::format("{:016x}", XXH3_64bits(text.data(), length)) !=
        text.substr(length))
    {
        return false;
    }
    std::istringstream in{text.substr(0, length)};
    std::string format;
    in >> format >> file.bytes >> file.first_time >> file.last_time;
    std::error_code error;
    const auto size =
        fs::file_size(path_of(file.number, record_extension), error);
    if (format != index_format || error || size != file.bytes)
    {
        return false;
    }
    chain_index::chain_key key;
    chain_segment segment;
    std::string previous;
    std::string chain;
    while (in >> key.first >> key.second >> segment.first >> segment.last >>
           segment.closes_chain >> previous >> chain)
    {
        segment.previous = parse_digest(previous).value_or(digest{});
        segment.chain = parse_digest(chain).value_or(digest{});
        file.index.add(key, segment);
    }
    return true;
}

std::string
decision_store::path_of(std::uint64_t number, const char* extension) const
{
    return fmt::format(
        "{}/{}{:08}.{}", folder_, file_prefix, number, extension);
}

std::vector<decision_store::record_file> decision_store::file_list() const
{
    const std::lock_guard lock{mutex_};
    std::vector<record_file> result;
    result.reserve(files_.size());
    for (const record_file& file : files_)
    {
        result.push_back(
            {file.number, file.bytes, file.first_time, file.last_time, {}});
    }
    return result;
}

absl::Status decision_store::storage_error(std::string_view action)
{
    return make_error(
        error_kind::storage_failed,
        fmt::format(
            "{} in {} failed: {}; free space or replace the disk, then "
            "restart this instance",
            action, folder_,
            failed_ ? "an earlier write was lost" : std::strerror(errno)));
}

} // namespace hickorygap
