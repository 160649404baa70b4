#include "process/consensus/file_log_storage.hpp"

#include "common/logging.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <records_generated.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

namespace hickorygap
{

namespace
{

namespace fs = std::filesystem;

// Frame: magic, length of the payload, checksum; then the payload.
constexpr std::uint32_t frame_magic = 0x48474c31;
constexpr std::size_t frame_header_size = 16;
constexpr std::string_view segment_prefix = "log-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view synced_name = "synced";
constexpr std::string_view temporary_suffix = ".tmp";
constexpr mode_t file_mode = 0600;

absl::Status damaged(std::string_view what)
{
    return make_error(
        error_kind::storage_damaged,
        fmt::format(
            "{}; this voter's log can't be trusted and it does not run. Move "
            "the data folder away, check the disk, and start again with an "
            "empty folder: the voter then receives the log from the others "
            "and votes again after a ticket that lists it",
            what));
}

absl::Status failed(std::string_view action, const std::string& file)
{
    return make_error(
        error_kind::storage_failed,
        fmt::format(
            "can't {} {}: {}; free space on the disk or repair it, the voter "
            "resumes by itself",
            action, file, std::strerror(errno)));
}

// The checksum covers the place of the frame, so that left-over bytes of
// another segment never pass for a frame.
std::uint64_t checksum(
    std::span<const std::uint8_t> payload, std::uint64_t segment,
    std::uint64_t offset)
{
    const std::array<std::uint64_t, 2> place{segment, offset};
    return XXH3_64bits_withSeed(
        payload.data(), payload.size(),
        XXH3_64bits(place.data(), sizeof place));
}

std::vector<std::uint8_t> make_frame(
    std::span<const std::uint8_t> payload, std::uint64_t segment,
    std::uint64_t offset)
{
    std::vector<std::uint8_t> frame(frame_header_size + payload.size());
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t sum = checksum(payload, segment, offset);
    std::memcpy(frame.data(), &frame_magic, sizeof frame_magic);
    std::memcpy(frame.data() + 4, &length, sizeof length);
    std::memcpy(frame.data() + 8, &sum, sizeof sum);
    std::ranges::copy(payload, frame.begin() + frame_header_size);
    return frame;
}

// The payload of the frame at offset, or nothing when none is intact there.
std::optional<std::span<const std::uint8_t>> frame_at(
    std::span<const std::uint8_t> content, std::uint64_t segment,
    std::uint64_t offset)
{
    if (content.size() - offset < frame_header_size)
    {
        return std::nullopt;
    }
    std::uint32_t magic = 0;
    std::uint32_t length = 0;
    std::uint64_t sum = 0;
    std::memcpy(&magic, content.data() + offset, sizeof magic);
    std::memcpy(&length, content.data() + offset + 4, sizeof length);
    std::memcpy(&sum, content.data() + offset + 8, sizeof sum);
    if (magic != frame_magic ||
        length > content.size() - offset - frame_header_size)
    {
        return std::nullopt;
    }
    const auto payload = content.subspan(offset + frame_header_size, length);
    if (checksum(payload, segment, offset) != sum)
    {
        return std::nullopt;
    }
    return payload;
}

bool frame_follows(
    std::span<const std::uint8_t> content, std::uint64_t segment,
    std::uint64_t offset)
{
    while (++offset + frame_header_size <= content.size())
    {
        if (frame_at(content, segment, offset))
        {
            return true;
        }
    }
    return false;
}

std::optional<std::uint64_t>
number_after(std::string_view name, std::string_view prefix)
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

std::vector<std::uint8_t> read_file(const std::string& file)
{
    std::ifstream stream{file, std::ios::binary};
    return {std::istreambuf_iterator<char>{stream}, {}};
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
    const bool synced = ::fsync(file) == 0;
    ::close(file);
    return synced;
}

// Creates a file under a temporary name, makes it durable and gives it its
// name, so that the name never stands for a half-written file.
absl::Status
create_file(const std::string& name, std::span<const std::uint8_t> content)
{
    const std::string temporary = name + std::string{temporary_suffix};
    const int file = ::open(
        temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (file < 0)
    {
        return failed("create", temporary);
    }
    const bool written = write_all(file, content, 0) && ::fsync(file) == 0;
    absl::Status status =
        written ? absl::OkStatus() : failed("write", temporary);
    ::close(file);
    if (status.ok() && ::rename(temporary.c_str(), name.c_str()) != 0)
    {
        status = failed("rename", temporary);
    }
    if (status.ok() && !sync_folder(fs::path{name}.parent_path().string()))
    {
        status = failed("sync the folder of", name);
    }
    return status;
}

std::unique_ptr<wire::hard_state_msg> hard_to_wire(const hard_state& hard)
{
    auto message = std::make_unique<wire::hard_state_msg>();
    message->term = hard.term;
    message->vote = hard.vote;
    message->disk = hard.disk;
    if (hard.bootstrap)
    {
        message->bootstrap =
            std::make_unique<wire::voters_entry_msg>(to_wire(*hard.bootstrap));
    }
    return message;
}

hard_state hard_from_wire(const wire::hard_state_msg& message)
{
    hard_state hard;
    hard.term = message.term;
    hard.vote = message.vote;
    hard.disk = message.disk;
    if (message.bootstrap)
    {
        hard.bootstrap = from_wire(*message.bootstrap);
    }
    return hard;
}

std::vector<std::uint8_t> encode_batch(
    const std::optional<hard_state>& hard,
    std::span<const wire::log_entry_msg> entries)
{
    wire::storage_batch_msg batch;
    if (hard)
    {
        batch.hard = hard_to_wire(*hard);
    }
    for (const wire::log_entry_msg& entry : entries)
    {
        batch.entries.push_back(std::make_unique<wire::log_entry_msg>(entry));
    }
    return encode_table<wire::storage_batch>(batch);
}

// Replaces the entries from the index of the first new one on. False when the
// new ones would leave a gap.
bool merge_entries(
    std::vector<wire::log_entry_msg>& entries,
    std::vector<wire::log_entry_msg> added)
{
    if (added.empty())
    {
        return true;
    }
    const std::uint64_t first = added.front().index;
    while (!entries.empty() && entries.back().index >= first)
    {
        entries.pop_back();
    }
    if (!entries.empty() && entries.back().index + 1 != first)
    {
        return false;
    }
    std::ranges::move(added, std::back_inserter(entries));
    return true;
}

} // namespace

file_log_storage::file_log_storage(std::string folder)
    : folder_{std::move(folder)}
{
}

file_log_storage::~file_log_storage()
{
    close_segment();
}

std::string file_log_storage::path(std::string_view name) const
{
    return fmt::format("{}/{}", folder_, name);
}

void file_log_storage::close_segment()
{
    if (segment_file_ >= 0)
    {
        ::close(std::exchange(segment_file_, -1));
    }
}

absl::StatusOr<stored_state> file_log_storage::load()
{
    std::error_code error;
    fs::create_directories(folder_, error);
    std::optional<std::uint64_t> newest;
    bool has_files = false;
    for (fs::directory_iterator item{folder_, error}, end;
         !error && item != end; item.increment(error))
    {
        const std::string name = item->path().filename().string();
        if (name.ends_with(temporary_suffix))
        {
            // Left over from a crash before the rename.
            continue;
        }
        if (const auto number = number_after(name, segment_prefix))
        {
            newest = std::max(newest.value_or(0), *number);
        }
        has_files = has_files || name.starts_with(snapshot_prefix) ||
                    name == synced_name;
    }
    if (error)
    {
        return make_error(
            error_kind::storage_failed,
            fmt::format(
                "can't read the data folder {}: {}; create it or correct its "
                "permissions",
                folder_, error.message()));
    }
    if (!newest && has_files)
    {
        return damaged(fmt::format(
            "the log file in the data folder {} is missing", folder_));
    }
    if (newest)
    {
        segment_ = *newest;
        if (absl::Status status = load_segment(state_); !status.ok())
        {
            return status;
        }
    }
    return state_;
}

absl::Status file_log_storage::load_segment(stored_state& state)
{
    const std::string name =
        path(fmt::format("{}{}", segment_prefix, segment_));
    segment_file_ = ::open(name.c_str(), O_RDWR | O_CLOEXEC);
    if (segment_file_ < 0)
    {
        return failed("open", name);
    }
    const std::vector<std::uint8_t> content = read_file(name);
    if (absl::Status status = read_frames(content, state, segment_length_);
        !status.ok())
    {
        return status;
    }
    if (segment_length_ < content.size())
    {
        log(log_level::warning, subsystem::storage,
            "torn_tail_cut file={} bytes={}", name,
            content.size() - segment_length_);
        if (::ftruncate(segment_file_, static_cast<off_t>(segment_length_)) !=
                0 ||
            ::fsync(segment_file_) != 0)
        {
            return failed("truncate", name);
        }
    }
    new_segment_needed_ = false;
    remove_old_files();
    return absl::OkStatus();
}

absl::Status file_log_storage::read_frames(
    std::span<const std::uint8_t> content, stored_state& state,
    std::uint64_t& valid_length)
{
    const std::string name = fmt::format("{}{}", segment_prefix, segment_);
    const std::uint64_t synced = read_synced_mark();
    bool has_header = false;
    std::uint64_t offset = 0;
    while (offset < content.size())
    {
        const auto payload = frame_at(content, segment_, offset);
        if (!payload)
        {
            if (offset < synced || !has_header || state.empty ||
                frame_follows(content, segment_, offset))
            {
                return damaged(fmt::format(
                    "file {} is damaged at byte {}", path(name), offset));
            }
            break;
        }
        if (!has_header)
        {
            const auto header = decode_table<wire::segment_header>(*payload);
            if (!header.ok() || header->segment != segment_)
            {
                return damaged(
                    fmt::format("the header of file {} is wrong", path(name)));
            }
            if (absl::Status status =
                    load_snapshot(header->snapshot_index, state);
                !status.ok())
            {
                return status;
            }
            has_header = true;
        }
        else
        {
            const auto batch = decode_table<wire::storage_batch>(*payload);
            if (!batch.ok())
            {
                return damaged(fmt::format(
                    "file {} has an unknown record at byte {}", path(name),
                    offset));
            }
            if (batch->hard)
            {
                state.hard = hard_from_wire(*batch->hard);
                state.empty = false;
            }
            std::vector<wire::log_entry_msg> entries;
            for (const auto& entry : batch->entries)
            {
                entries.push_back(*entry);
            }
            const std::uint64_t base =
                state.snapshot ? state.snapshot->index : 0;
            if (!merge_entries(state.entries, std::move(entries)) ||
                (!state.entries.empty() &&
                 state.entries.front().index != base + 1))
            {
                return damaged(fmt::format(
                    "file {} lacks entries before byte {}", path(name),
                    offset));
            }
        }
        offset += frame_header_size + payload->size();
    }
    if (offset < synced || state.empty)
    {
        return damaged(fmt::format(
            "file {} is shorter than it was after its last sync", path(name)));
    }
    valid_length = offset;
    return absl::OkStatus();
}

absl::Status
file_log_storage::load_snapshot(std::uint64_t index, stored_state& state)
{
    if (index == 0)
    {
        return absl::OkStatus();
    }
    const std::string name = path(fmt::format("{}{}", snapshot_prefix, index));
    const std::vector<std::uint8_t> content = read_file(name);
    const auto payload = frame_at(content, index, 0);
    if (!payload)
    {
        return damaged(
            fmt::format("the snapshot file {} is missing or damaged", name));
    }
    auto stored = decode_table<wire::stored_snapshot>(*payload);
    if (!stored.ok() || stored->index != index)
    {
        return damaged(fmt::format("the snapshot file {} is wrong", name));
    }
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index = stored->index;
    snapshot->term = stored->term;
    snapshot->data = std::move(stored->data);
    if (stored->configuration)
    {
        snapshot->configuration = from_wire(*stored->configuration);
    }
    state.snapshot = std::move(snapshot);
    return absl::OkStatus();
}

// Segment number, length, and a checksum over both.
std::uint64_t file_log_storage::read_synced_mark() const
{
    const std::vector<std::uint8_t> content = read_file(path(synced_name));
    std::array<std::uint64_t, 3> mark{};
    if (content.size() != sizeof mark)
    {
        return 0;
    }
    std::memcpy(mark.data(), content.data(), sizeof mark);
    const bool valid = mark[0] == segment_ &&
                       mark[2] == XXH3_64bits(mark.data(), 2 * sizeof mark[0]);
    return valid ? mark[1] : 0;
}

void file_log_storage::write_synced_mark()
{
    std::array<std::uint64_t, 3> mark{segment_, segment_length_, 0};
    mark[2] = XXH3_64bits(mark.data(), 2 * sizeof mark[0]);
    const int file = ::open(
        path(synced_name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, file_mode);
    if (file < 0)
    {
        return;
    }
    std::array<std::uint8_t, sizeof mark> bytes{};
    std::memcpy(bytes.data(), mark.data(), sizeof mark);
    // A failure only leaves the mark older than it could be.
    if (!write_all(file, bytes, 0))
    {
        log(log_level::warning, subsystem::storage, "synced_mark_not_written");
    }
    ::close(file);
}

void file_log_storage::write(storage_write change)
{
    if (change.hard)
    {
        state_.hard = *change.hard;
        state_.empty = false;
        pending_.hard = change.hard;
    }
    if (change.snapshot)
    {
        state_.snapshot = change.snapshot;
        state_.entries = std::move(change.entries);
        pending_.snapshot = std::move(change.snapshot);
        pending_.entries.clear();
        return;
    }
    if (change.entries.empty())
    {
        return;
    }
    if (!pending_.snapshot)
    {
        const std::uint64_t first = change.entries.front().index;
        // The gap-free case; otherwise the earlier pending entries all stand
        // behind the new ones and are replaced.
        if (!pending_.entries.empty() &&
            pending_.entries.front().index >= first)
        {
            pending_.entries.clear();
        }
        merge_entries(pending_.entries, change.entries);
    }
    merge_entries(state_.entries, std::move(change.entries));
}

absl::Status file_log_storage::sync()
{
    if (pending_.empty())
    {
        return absl::OkStatus();
    }
    const bool whole = new_segment_needed_ || pending_.snapshot != nullptr;
    absl::Status status = whole ? start_segment() : append_pending();
    if (status.ok())
    {
        pending_ = storage_write{};
        write_synced_mark();
    }
    return status;
}

absl::Status file_log_storage::append_pending()
{
    const std::string name =
        path(fmt::format("{}{}", segment_prefix, segment_));
    const std::vector<std::uint8_t> frame = make_frame(
        encode_batch(pending_.hard, pending_.entries), segment_,
        segment_length_);
    if (!write_all(segment_file_, frame, static_cast<off_t>(segment_length_)))
    {
        absl::Status status = failed("write", name);
        // The next attempt writes at the same place again.
        new_segment_needed_ =
            ::ftruncate(segment_file_, static_cast<off_t>(segment_length_)) !=
            0;
        return status;
    }
    if (::fdatasync(segment_file_) != 0)
    {
        // After a failed sync the kernel may drop the pages and report
        // success for the next one, so the file is not used any more.
        new_segment_needed_ = true;
        return failed("sync", name);
    }
    segment_length_ += frame.size();
    return absl::OkStatus();
}

absl::Status file_log_storage::start_segment()
{
    if (absl::Status status = write_snapshot_file(); !status.ok())
    {
        return status;
    }
    const std::uint64_t number = segment_ + 1;
    wire::segment_header_msg header;
    header.segment = number;
    header.snapshot_index = state_.snapshot ? state_.snapshot->index : 0;
    std::vector<std::uint8_t> content =
        make_frame(encode_table<wire::segment_header>(header), number, 0);
    const std::vector<std::uint8_t> frame = make_frame(
        encode_batch(state_.hard, state_.entries), number, content.size());
    content.insert(content.end(), frame.begin(), frame.end());
    const std::string name = path(fmt::format("{}{}", segment_prefix, number));
    if (absl::Status status = create_file(name, content); !status.ok())
    {
        return status;
    }
    const int file = ::open(name.c_str(), O_RDWR | O_CLOEXEC);
    if (file < 0)
    {
        return failed("open", name);
    }
    close_segment();
    segment_file_ = file;
    segment_ = number;
    segment_length_ = content.size();
    new_segment_needed_ = false;
    remove_old_files();
    return absl::OkStatus();
}

absl::Status file_log_storage::write_snapshot_file()
{
    if (!state_.snapshot || !pending_.snapshot)
    {
        return absl::OkStatus();
    }
    wire::stored_snapshot_msg stored;
    stored.index = state_.snapshot->index;
    stored.term = state_.snapshot->term;
    stored.data = state_.snapshot->data;
    stored.configuration = std::make_unique<wire::voters_entry_msg>(
        to_wire(state_.snapshot->configuration));
    return create_file(
        path(fmt::format("{}{}", snapshot_prefix, stored.index)),
        make_frame(
            encode_table<wire::stored_snapshot>(stored), stored.index, 0));
}

// Removes files that the present segment does not refer to. A file that can't
// be removed now is removed with the next segment.
void file_log_storage::remove_old_files()
{
    const std::uint64_t snapshot = state_.snapshot ? state_.snapshot->index : 0;
    std::error_code error;
    std::vector<fs::path> old;
    for (fs::directory_iterator item{folder_, error}, end;
         !error && item != end; item.increment(error))
    {
        const std::string name = item->path().filename().string();
        const auto segment = number_after(name, segment_prefix);
        const auto index = number_after(name, snapshot_prefix);
        if (name.ends_with(temporary_suffix) ||
            (segment && *segment != segment_) || (index && *index != snapshot))
        {
            old.push_back(item->path());
        }
    }
    for (const fs::path& file : old)
    {
        fs::remove(file, error);
    }
}

} // namespace hickorygap
