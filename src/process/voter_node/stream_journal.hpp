#ifndef HICKORYGAP_PROCESS_VOTER_NODE_STREAM_JOURNAL_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_STREAM_JOURNAL_HPP

#include "common/time.hpp"
#include "request/dispatch/stream_versions.hpp"

#include <absl/status/status.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hickorygap
{

// The software version that began a stream, as it is stored.
struct recorded_stream
{
    stream_id stream = 0;
    software_version_id version = 0;
    unix_millis recorded_at = 0;
};

// Keeps the software versions of streams in files, so that callers can take
// their streams up again after all processes have ended at once.
//
// A thread of its own writes the records in batches, because a disk may stall
// for seconds, and the control thread must not wait for it. A loss of power
// loses at most the last batch; its streams are then unknown, and never wrong.
//
// streams-<n>: frames of records; see record_frames.hpp. A file is deleted when
// its newest record is too old to be of use.
class stream_journal
{
public:
    // folder: the data folder of the voter.
    explicit stream_journal(std::string folder);

    // Writes the records that are queued.
    ~stream_journal();
    stream_journal(const stream_journal&) = delete;
    stream_journal& operator=(const stream_journal&) = delete;

    // Reads the records of the files, the oldest first, except those that are
    // too old. To be called once, before the first append.
    std::vector<recorded_stream> load(unix_millis now);

    // Queues a record. Does not block; the oldest records are dropped when the
    // disk does not accept them for a long time.
    void append(const recorded_stream& record);

    // Result of the last write. Error: storage_failed; writing is tried again.
    absl::Status status() const;

private:
    void run();
    absl::Status write(const std::deque<recorded_stream>& batch);
    absl::Status start_file();
    void close_file();
    void remove_expired_files(unix_millis now);
    std::string path_of(std::uint64_t number) const;

    std::string folder_;

    // Used by the thread alone once it runs.
    int descriptor_ = -1;
    std::uint64_t number_ = 0;
    unix_millis file_started_ = 0;

    // Time of the newest record of each file, by number.
    std::map<std::uint64_t, unix_millis> newest_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<recorded_stream> pending_;
    absl::Status status_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace hickorygap

#endif
