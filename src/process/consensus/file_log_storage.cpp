#include "process/consensus/file_log_storage.hpp"

#include "common/file_io.hpp"
#include "common/logging.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <records_generated.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>
#include <iterator>
#include <optional>
#include <utility>

namespace hickorygap
{

namespace
{

namespace fs = std::filesystem;

// A frame is a header of magic number (4 bytes), payload length (4 bytes) and
// checksum (8 bytes), followed by the payload.
constexpr std::uint32_t frame_magic = 0x48474c31;
constexpr std::size_t frame_header_bytes = 16;
constexpr std::string_view segment_prefix = "log-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view synced_file_name = "synced";
constexpr std::string_view temporary_file_suffix = ".tmp";
constexpr mode_t data_file_mode = 0600;

absl::Status damaged_error(std::string_view what)
{
    return make_error(
        error_kind::storage_damaged,
        fmt::format(
            "{}; the voter does not start because its log can't be trusted. "
            "Move the data folder away, check the disk, and start again with "
            "an empty folder: the voter then receives the log from the other "
            "voters and votes again after a ticket that lists it",
            what));
}

// The checksum also covers the segment number and the offset of the frame, so
// that stale bytes of another segment are never accepted as a frame.
std::uint64_t checksum(
    std::span<const std::uint8_t> payload, std::uint64_t segment,
    std::uint64_t offset)
{
    const std::array<std::uint64_t, 2> position{segment, offset};
    return XXH3_64bits_withSeed(
        payload.data(), payload.size(),
        XXH3_64bits(position.data(), sizeof position));
}

std::vector<std::uint8_t> make_frame(
    std::span<const std::uint8_t> payload, std::uint64_t segment,
    std::uint64_t offset)
{
    std::vector<std::uint8_t> frame(frame_header_bytes + payload.size());
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t sum = checksum(payload, segment, offset);
    std::memcpy(frame.data(), &frame_magic, sizeof frame_magic);
    std::memcpy(frame.data() + 4, &length, sizeof length);
    std::memcpy(frame.data() + 8, &sum, sizeof sum);
    std::ranges::copy(payload, frame.begin() + frame_header_bytes);
    return frame;
}

// Returns the payload of the frame at offset, or nothing when there is no
// intact frame.
std::optional<std::span<const std::uint8_t>> frame_at(
    std::span<const std::uint8_t> content, std::uint64_t segment,
    std::uint64_t offset)
{
    if (content.size() - offset < frame_header_bytes)
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
        length > content.size() - offset - frame_header_bytes)
    {
        return std::nullopt;
    }
    const auto payload = content.subspan(offset + frame_header_bytes, length);
    if (checksum(payload, segment, offset) != sum)
    {
        return std::nullopt;
    }
    return payload;
}

bool has_frame_after(
    std::span<const std::uint8_t> content, std::uint64_t segment,
    std::uint64_t offset)
{
    while (++offset + frame_header_bytes <= content.size())
    {
        if (frame_at(content, segment, offset))
        {
            return true;
        }
    }
    return false;
}

// Writes and syncs the file under a temporary name and then renames it, so that
// a file of this name is always complete.
absl::Status
create_file(const std::string& name, std::span<const std::uint8_t> content)
{
    const std::string temporary = name + std::string{temporary_file_suffix};
    const int file = ::open(
        temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
        data_file_mode);
    if (file < 0)
    {
        return file_error("create", temporary);
    }
    const bool written = write_all(file, content, 0) && ::fsync(file) == 0;
    absl::Status status =
        written ? absl::OkStatus() : file_error("write", temporary);
    ::close(file);
    if (status.ok() && ::rename(temporary.c_str(), name.c_str()) != 0)
    {
        status = file_error("rename", temporary);
    }
    if (status.ok() && !sync_folder(fs::path{name}.parent_path().string()))
    {
        status = file_error("sync the folder of", name);
    }
    return status;
}

std::unique_ptr<wire::hard_state_msg> hard_to_wire(const hard_state& hard)
{
    auto message = std::make_unique<wire::hard_state_msg>();
    message->term = hard.term;
    message->vote = hard.vote;
    message->disk = hard.disk;
    message->committed_list = hard.committed_list;
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
    hard.committed_list = message.committed_list;
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

// Replaces all entries from the index of the first added one on. Returns false
// when there would be a gap before the added entries.
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
        if (name.ends_with(temporary_file_suffix))
        {
            // Left by a crash before the rename.
            continue;
        }
        if (const auto number = file_number(name, segment_prefix))
        {
            newest = std::max(newest.value_or(0), *number);
        }
        has_files = has_files || name.starts_with(snapshot_prefix) ||
                    name == synced_file_name;
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
        return damaged_error(fmt::format(
            "the data folder {} holds other files but no log file", folder_));
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
        return file_error("open", name);
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
            return file_error("truncate", name);
        }
    }
    new_segment_needed_ = false;
    remove_obsolete_files();
    return absl::OkStatus();
}

absl::Status file_log_storage::read_frames(
    std::span<const std::uint8_t> content, stored_state& state,
    std::uint64_t& valid_length)
{
    const std::string name = fmt::format("{}{}", segment_prefix, segment_);
    const std::uint64_t synced = read_synced_length();
    bool has_header = false;
    std::uint64_t offset = 0;
    while (offset < content.size())
    {
        const auto payload = frame_at(content, segment_, offset);
        if (!payload)
        {
            if (offset < synced || !has_header || state.empty ||
                has_frame_after(content, segment_, offset))
            {
                return damaged_error(fmt::format(
                    "file {} is damaged at byte {}", path(name), offset));
            }
            break;
        }
        if (!has_header)
        {
            const auto header = decode_table<wire::segment_header>(*payload);
            if (!header.ok() || header->segment != segment_)
            {
                return damaged_error(
                    fmt::format("file {} has an invalid header", path(name)));
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
                return damaged_error(fmt::format(
                    "file {} has an undecodable record at byte {}", path(name),
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
                return damaged_error(fmt::format(
                    "file {} lacks log entries before byte {}", path(name),
                    offset));
            }
        }
        offset += frame_header_bytes + payload->size();
    }
    if (offset < synced)
    {
        return damaged_error(fmt::format(
            "file {} has {} valid bytes, fewer than after its last sync",
            path(name), offset));
    }
    if (state.empty)
    {
        return damaged_error(fmt::format(
            "file {} has no record of a term and a vote in its {} bytes",
            path(name), offset));
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
        return damaged_error(
            fmt::format("the snapshot file {} is missing or damaged", name));
    }
    auto stored = decode_table<wire::stored_snapshot>(*payload);
    if (!stored.ok() || stored->index != index)
    {
        return damaged_error(
            fmt::format("the snapshot file {} has invalid content", name));
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

// The file holds the segment number, the synced length, and a checksum over
// both. Returns zero when the file is missing, invalid or of another segment.
std::uint64_t file_log_storage::read_synced_length() const
{
    const std::vector<std::uint8_t> content = read_file(path(synced_file_name));
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

void file_log_storage::write_synced_length()
{
    std::array<std::uint64_t, 3> mark{segment_, segment_length_, 0};
    mark[2] = XXH3_64bits(mark.data(), 2 * sizeof mark[0]);
    const int file = ::open(
        path(synced_file_name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC,
        data_file_mode);
    if (file < 0)
    {
        return;
    }
    std::array<std::uint8_t, sizeof mark> bytes{};
    std::memcpy(bytes.data(), mark.data(), sizeof mark);
    // After a failure the file holds an earlier length, which is still a valid
    // lower bound.
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
        // Pending entries that all have the index of the first new one or a
        // higher one are replaced; otherwise merge_entries keeps those before.
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
    const bool rewrite_all =
        new_segment_needed_ || pending_.snapshot != nullptr;
    absl::Status status = rewrite_all ? start_segment() : append_pending();
    if (status.ok())
    {
        pending_ = storage_write{};
        write_synced_length();
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
        absl::Status status = file_error("write", name);
        // The next attempt writes at the same offset, unless the partial frame
        // can't be cut off.
        new_segment_needed_ =
            ::ftruncate(segment_file_, static_cast<off_t>(segment_length_)) !=
            0;
        return status;
    }
    if (::fdatasync(segment_file_) != 0)
    {
        // After a failed sync the kernel may drop the dirty pages and report
        // success for the next sync, so a new segment replaces the file.
        new_segment_needed_ = true;
        return file_error("sync", name);
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
        return file_error("open", name);
    }
    close_segment();
    segment_file_ = file;
    segment_ = number;
    segment_length_ = content.size();
    new_segment_needed_ = false;
    remove_obsolete_files();
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

// Removes the files that the current segment does not refer to. A file that
// can't be removed now is removed when the next segment starts.
void file_log_storage::remove_obsolete_files()
{
    const std::uint64_t snapshot = state_.snapshot ? state_.snapshot->index : 0;
    std::error_code error;
    std::vector<fs::path> obsolete;
    for (fs::directory_iterator item{folder_, error}, end;
         !error && item != end; item.increment(error))
    {
        const std::string name = item->path().filename().string();
        const auto segment = file_number(name, segment_prefix);
        const auto index = file_number(name, snapshot_prefix);
        if (name.ends_with(temporary_file_suffix) ||
            (segment && *segment != segment_) || (index && *index != snapshot))
        {
            obsolete.push_back(item->path());
        }
    }
    for (const fs::path& file : obsolete)
    {
        fs::remove(file, error);
    }
}

} // namespace hickorygap
