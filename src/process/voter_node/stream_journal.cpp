#include "process/voter_node/stream_journal.hpp"

#include "common/file_io.hpp"
#include "messages/codec.hpp"
#include "process/decision_record/record_frames.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <records_generated.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <string_view>
#include <system_error>
#include <utility>

namespace hickorygap
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view file_prefix = "streams-";

// Time for which records are collected before they are written. A stream is
// rarely taken up again before its record is written.
constexpr duration batch_interval = std::chrono::milliseconds{100};

constexpr duration retry_interval = std::chrono::seconds{1};

// Limit of the memory, 1.2 MB.
constexpr std::size_t max_pending = 50'000;

constexpr int file_mode = 0640;

unix_millis retention_ms()
{
    return static_cast<unix_millis>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            stream_retention_period)
            .count());
}

} // namespace

stream_journal::stream_journal(std::string folder)
    : folder_{std::move(folder)}
{
}

stream_journal::~stream_journal()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable())
    {
        thread_.join();
    }
    close_file();
}

std::string stream_journal::path_of(std::uint64_t number) const
{
    return fmt::format("{}/{}{}", folder_, file_prefix, number);
}

std::vector<recorded_stream> stream_journal::load(unix_millis now)
{
    std::error_code error;
    for (fs::directory_iterator item{folder_, error}, end;
         !error && item != end; item.increment(error))
    {
        if (const auto number =
                file_number(item->path().filename().string(), file_prefix))
        {
            newest_[*number] = 0;
            number_ = std::max(number_, *number);
        }
    }
    std::vector<recorded_stream> result;
    for (auto& item : newest_)
    {
        unix_millis& newest = item.second;
        // Frames after a torn one have never been synced.
        read_frames(
            read_file(path_of(item.first)),
            [&](std::span<const std::uint8_t> content)
            {
                const auto batch = decode_table<wire::stream_batch>(content);
                if (!batch.ok())
                {
                    return;
                }
                for (const wire::stored_stream& record : batch->streams)
                {
                    newest = std::max(newest, record.recorded_at());
                    if (record.recorded_at() + retention_ms() > now)
                    {
                        result.push_back(
                            {record.stream(), record.version(),
                             std::min(record.recorded_at(), now)});
                    }
                }
            });
    }
    return result;
}

void stream_journal::append(const recorded_stream& record)
{
    bool is_first = false;
    {
        const std::lock_guard lock{mutex_};
        is_first = pending_.empty();
        pending_.push_back(record);
        if (pending_.size() > max_pending)
        {
            pending_.pop_front();
        }
        if (!thread_.joinable())
        {
            thread_ = std::thread{[this] { run(); }};
        }
    }
    // Otherwise the thread already collects a batch, or waits for the disk.
    if (is_first)
    {
        wake_.notify_one();
    }
}

absl::Status stream_journal::status() const
{
    const std::lock_guard lock{mutex_};
    return status_;
}

void stream_journal::run()
{
    std::unique_lock lock{mutex_};
    const auto stops = [this] { return stopping_; };
    while (!stopping_ || !pending_.empty())
    {
        wake_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
        wake_.wait_for(lock, batch_interval, stops);
        const std::deque<recorded_stream> batch = std::exchange(pending_, {});
        lock.unlock();
        const absl::Status written = write(batch);
        lock.lock();
        status_ = written;
        if (written.ok())
        {
            continue;
        }
        if (stopping_)
        {
            return;
        }
        pending_.insert(pending_.begin(), batch.begin(), batch.end());
        wake_.wait_for(lock, retry_interval, stops);
    }
}

absl::Status stream_journal::write(const std::deque<recorded_stream>& batch)
{
    if (batch.empty())
    {
        return absl::OkStatus();
    }
    if (descriptor_ < 0 || file_started_ + retention_ms() < unix_now())
    {
        if (absl::Status status = start_file(); !status.ok())
        {
            return status;
        }
    }
    wire::stream_batch_msg message;
    for (const recorded_stream& record : batch)
    {
        message.streams.emplace_back(
            record.stream, record.version, record.recorded_at);
        newest_[number_] = std::max(newest_[number_], record.recorded_at);
    }
    const std::vector<std::uint8_t> frame =
        make_frame(encode_table<wire::stream_batch>(message));
    const off_t end = ::lseek(descriptor_, 0, SEEK_END);
    if (end < 0 || !write_all(descriptor_, frame, end) ||
        ::fdatasync(descriptor_) != 0)
    {
        absl::Status status = file_error("write", path_of(number_));
        // The file may end with a part of the frame.
        close_file();
        return status;
    }
    return absl::OkStatus();
}

absl::Status stream_journal::start_file()
{
    close_file();
    remove_expired_files(unix_now());
    const std::string path = path_of(++number_);
    descriptor_ =
        ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (descriptor_ < 0 || !sync_folder(folder_))
    {
        absl::Status status = file_error("create", path);
        close_file();
        return status;
    }
    file_started_ = unix_now();
    newest_[number_] = file_started_;
    return absl::OkStatus();
}

void stream_journal::close_file()
{
    if (descriptor_ >= 0)
    {
        ::close(std::exchange(descriptor_, -1));
    }
}

// A file that can't be removed now is removed with the next one.
void stream_journal::remove_expired_files(unix_millis now)
{
    for (auto item = newest_.begin(); item != newest_.end();)
    {
        std::error_code error;
        const bool is_expired = item->second + retention_ms() < now;
        if (is_expired)
        {
            fs::remove(path_of(item->first), error);
        }
        item = is_expired && !error ? newest_.erase(item) : std::next(item);
    }
}

} // namespace hickorygap
