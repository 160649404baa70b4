#include "common/error.hpp"
#include "process/voter_node/stream_journal.hpp"
#include "support/temporary_folder.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <string>
#include <thread>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr unix_millis retention = 60'000;

std::vector<stream_id> streams_of(const std::vector<recorded_stream>& records)
{
    std::vector<stream_id> result;
    for (const recorded_stream& record : records)
    {
        result.push_back(record.stream);
    }
    return result;
}

void write(const std::string& folder, std::vector<recorded_stream> records)
{
    stream_journal journal{folder};
    journal.load(unix_now());
    for (const recorded_stream& record : records)
    {
        journal.append(record);
    }
}

} // namespace

// Guards against streams that nobody knows any more after all processes have
// ended at once, and against files that grow for ever.
TEST_CASE("records of streams outlive the process")
{
    const temporary_folder folder;
    const unix_millis now = unix_now();
    write(folder.path(), {{1, 11, now - retention - 5000}, {2, 12, now - 1}});
    write(folder.path(), {{3, 13, now}});
    stream_journal journal{folder.path()};
    const auto records = journal.load(now);
    CHECK(streams_of(records) == std::vector<stream_id>{2, 3});
    CHECK(records.front().version == 12);
    CHECK(stream_journal{folder.path()}.load(now + 2 * retention).empty());
    // The first file of the next process replaces those that are too old.
    write(folder.path(), {{4, 14, now}});
    CHECK(
        streams_of(stream_journal{folder.path()}.load(now)) ==
        std::vector<stream_id>{2, 3, 4});
}

// Guards against a loss of power during a write that hides what was synced
// before, and against records after it that can't be read.
TEST_CASE("a torn write loses only its own records")
{
    const std::uintmax_t lost = GENERATE(1, 20, 40);
    CAPTURE(lost);
    const temporary_folder folder;
    const unix_millis now = unix_now();
    {
        stream_journal journal{folder.path()};
        journal.append({1, 11, now});
        // Longer than a batch.
        std::this_thread::sleep_for(400ms);
        journal.append({2, 12, now});
    }
    const std::filesystem::path file = std::filesystem::directory_iterator
    {
        folder.path()
        } -> path();
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - lost);
    write(folder.path(), {{3, 13, now}});
    CHECK(
        streams_of(stream_journal{folder.path()}.load(now)) ==
        std::vector<stream_id>{1, 3});
}

// Guards against a disk that fails without a word, and against records that are
// given up because of it.
TEST_CASE("a failed disk is reported, and written when it works again")
{
    const temporary_folder folder;
    const std::string missing = folder.path() + "/missing";
    const unix_millis now = unix_now();
    stream_journal journal{missing};
    journal.append({1, 11, now});
    const auto await = [&](bool ok)
    {
        for (int i = 0; i < 300 && journal.status().ok() != ok; ++i)
        {
            std::this_thread::sleep_for(10ms);
        }
        return journal.status().ok() == ok;
    };
    CHECK(await(false));
    CHECK(kind_of(journal.status()) == error_kind::storage_failed);
    std::filesystem::create_directory(missing);
    CHECK(await(true));
    CHECK(
        streams_of(stream_journal{missing}.load(now)) ==
        std::vector<stream_id>{1});
}
