#include "process/consensus/file_log_storage.hpp"
#include "support/file_size_limit.hpp"
#include "support/temporary_folder.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

using namespace hickorygap;
using test::file_size_limit;
using test::temporary_folder;
namespace fs = std::filesystem;

namespace
{

wire::log_entry_msg make_entry(std::uint64_t index, std::uint64_t term = 1)
{
    wire::log_entry_msg entry;
    entry.index = index;
    entry.term = term;
    entry.kind = wire::entry_kind::ticket;
    entry.data.assign(100, static_cast<std::uint8_t>(index));
    return entry;
}

storage_write make_write(std::uint64_t index, std::uint64_t term = 1)
{
    storage_write change;
    change.hard = hard_state{term, 1, 77, std::nullopt};
    change.entries.push_back(make_entry(index, term));
    return change;
}

snapshot_ptr make_snapshot(std::uint64_t index)
{
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index = index;
    snapshot->term = 1;
    snapshot->configuration.voters = {{1, 77}, {2, 88}};
    snapshot->data.assign(300, 9);
    return snapshot;
}

// Stores five entries with one sync each, optionally with a snapshot after the
// third.
void store_entries(const std::string& folder, bool with_snapshot)
{
    file_log_storage storage{folder};
    REQUIRE(storage.load().ok());
    for (std::uint64_t index = 1; index <= 5; ++index)
    {
        storage.write(make_write(index));
        REQUIRE(storage.sync().ok());
        if (with_snapshot && index == 3)
        {
            storage_write change;
            change.snapshot = make_snapshot(3);
            storage.write(std::move(change));
            REQUIRE(storage.sync().ok());
        }
    }
}

void flip_bit(const fs::path& file, std::uint64_t offset)
{
    std::fstream stream{file, std::ios::binary | std::ios::in | std::ios::out};
    stream.seekg(static_cast<std::streamoff>(offset));
    const int byte = stream.get();
    stream.seekp(static_cast<std::streamoff>(offset));
    stream.put(static_cast<char>(byte ^ 1));
}

std::size_t count_entries(const std::string& folder)
{
    file_log_storage storage{folder};
    const auto state = storage.load();
    REQUIRE(state.ok());
    return state->entries.size();
}

} // namespace

// Guards against synced state that is not read back as written after a restart.
TEST_CASE("the stored state survives a restart")
{
    const bool with_snapshot = GENERATE(false, true);
    const temporary_folder folder;
    store_entries(folder.path(), with_snapshot);
    file_log_storage storage{folder.path()};
    const auto state = storage.load();
    REQUIRE(state.ok());
    CHECK_FALSE(state->empty);
    CHECK(state->hard.disk == 77);
    REQUIRE(state->entries.size() == (with_snapshot ? 2 : 5));
    CHECK(state->entries.back().data == make_entry(5).data);
    REQUIRE((state->snapshot != nullptr) == with_snapshot);
    if (with_snapshot)
    {
        CHECK(state->snapshot->data == make_snapshot(3)->data);
        CHECK(state->snapshot->configuration.has_voter(2, 88));
        CHECK(state->entries.front().index == 4);
    }
}

// Guards against obsolete segments and snapshots that accumulate until the disk
// is full.
TEST_CASE("obsolete segments and snapshots are removed")
{
    const temporary_folder folder;
    store_entries(folder.path(), true);
    const auto files = std::distance(
        fs::directory_iterator{folder.path()}, fs::directory_iterator{});
    CHECK(files == 3);
}

// Guards against overwritten entries that reappear after a restart: a new
// leader replaces a conflicting tail of the log.
TEST_CASE("a written entry replaces those with its index and higher ones")
{
    const temporary_folder folder;
    store_entries(folder.path(), false);
    {
        file_log_storage storage{folder.path()};
        REQUIRE(storage.load().ok());
        storage.write(make_write(4, 2));
        storage.write(make_write(3, 3));
        REQUIRE(storage.sync().ok());
    }
    file_log_storage storage{folder.path()};
    const auto state = storage.load();
    REQUIRE(state.ok());
    REQUIRE(state->entries.size() == 3);
    CHECK(state->entries.back().term == 3);
    CHECK(state->hard.term == 3);
}

// Guards against a voter that does not start after a crash in the middle of a
// write, and against one that accepts a partly written record.
TEST_CASE("a record torn at any byte is cut off at start")
{
    const temporary_folder whole;
    store_entries(whole.path(), false);
    const fs::path name = whole.file("log-").filename();
    const std::uint64_t size = fs::file_size(whole.file("log-"));
    std::uint64_t before = 0;
    {
        const temporary_folder four_entries;
        file_log_storage storage{four_entries.path()};
        REQUIRE(storage.load().ok());
        for (std::uint64_t index = 1; index <= 4; ++index)
        {
            storage.write(make_write(index));
            REQUIRE(storage.sync().ok());
        }
        before = fs::file_size(four_entries.file("log-"));
    }
    REQUIRE(before < size);
    for (std::uint64_t length = before; length < size; ++length)
    {
        const temporary_folder torn;
        fs::copy_file(whole.file("log-"), fs::path{torn.path()} / name);
        fs::resize_file(fs::path{torn.path()} / name, length);
        REQUIRE(count_entries(torn.path()) == 4);
        REQUIRE(fs::file_size(fs::path{torn.path()} / name) == before);
    }
    // File blocks that were allocated but not written read as zeros.
    const temporary_folder zeros;
    fs::copy_file(whole.file("log-"), fs::path{zeros.path()} / name);
    fs::resize_file(fs::path{zeros.path()} / name, before);
    fs::resize_file(fs::path{zeros.path()} / name, size);
    CHECK(count_entries(zeros.path()) == 4);
}

// Guards against an error that blames the length of a file that lacks something
// else.
TEST_CASE("the error of a log names what the log lacks")
{
    const bool has_sync_mark = GENERATE(false, true);
    CAPTURE(has_sync_mark);
    const temporary_folder folder;
    store_entries(folder.path(), false);
    if (!has_sync_mark)
    {
        fs::remove(folder.file("synced"));
    }
    const fs::path log = folder.file("log-");
    std::size_t too_short = 0;
    std::size_t without_vote = 0;
    for (auto length = fs::file_size(log) / 5; length-- > 0;)
    {
        fs::resize_file(log, length);
        file_log_storage storage{folder.path()};
        const auto state = storage.load();
        REQUIRE_FALSE(state.ok());
        const std::string message{state.status().message()};
        const auto has = [&](const char* text)
        { return message.find(text) != std::string::npos; };
        too_short += has("fewer than after its last sync") ? 1 : 0;
        without_vote += has("no record of a term and a vote") ? 1 : 0;
    }
    // Only files that end with the header or are empty have no damaged record.
    CHECK(too_short == (has_sync_mark ? 2 : 0));
    CHECK(without_vote == (has_sync_mark ? 0 : 2));
}

// Guards against a voter that continues although synced state is lost.
TEST_CASE("damage of synced state fails the load and the error names a remedy")
{
    using damage = std::function<void(const temporary_folder&)>;
    const auto [name, with_snapshot, damage_state] =
        GENERATE(table<std::string, bool, damage>(
            {{"byte in the first record", false,
              [](const temporary_folder& folder)
              { flip_bit(folder.file("log-"), 30); }},
             {"length of a record in the middle", false,
              [](const temporary_folder& folder)
              {
                  const auto log = folder.file("log-");
                  flip_bit(log, fs::file_size(log) * 6 / 10);
              }},
             {"last record, although it was synced", false,
              [](const temporary_folder& folder)
              {
                  const auto log = folder.file("log-");
                  flip_bit(log, fs::file_size(log) - 1);
              }},
             {"synced records cut off", false,
              [](const temporary_folder& folder)
              {
                  const auto log = folder.file("log-");
                  fs::resize_file(log, fs::file_size(log) / 2);
              }},
             {"middle damaged and no mark of the last sync", false,
              [](const temporary_folder& folder)
              {
                  const auto log = folder.file("log-");
                  flip_bit(log, fs::file_size(log) / 2);
                  fs::remove(folder.file("synced"));
              }},
             {"empty log", false,
              [](const temporary_folder& folder)
              { fs::resize_file(folder.file("log-"), 0); }},
             {"missing log", false,
              [](const temporary_folder& folder)
              { fs::remove(folder.file("log-")); }},
             {"missing snapshot", true,
              [](const temporary_folder& folder)
              { fs::remove(folder.file("snapshot-")); }},
             {"byte in the snapshot", true, [](const temporary_folder& folder) {
                  flip_bit(folder.file("snapshot-"), 200);
              }}}));
    INFO(name);
    const temporary_folder folder;
    store_entries(folder.path(), with_snapshot);
    damage_state(folder);
    file_log_storage storage{folder.path()};
    const auto state = storage.load();
    REQUIRE_FALSE(state.ok());
    CHECK(kind_of(state.status()) == error_kind::storage_damaged);
    CHECK(
        state.status().message().find("Move the data folder away") !=
        std::string::npos);
}

// Guards against damage that the test above does not list: a voter that loads a
// synced log in which any single byte has changed.
TEST_CASE("a change of any byte of the synced log is detected")
{
    const temporary_folder folder;
    store_entries(folder.path(), false);
    const fs::path log = folder.file("log-");
    for (std::uint64_t offset = 0; offset < fs::file_size(log); ++offset)
    {
        flip_bit(log, offset);
        {
            file_log_storage storage{folder.path()};
            REQUIRE_FALSE(storage.load().ok());
        }
        flip_bit(log, offset);
    }
    CHECK(count_entries(folder.path()) == 5);
}

// Guards against a voter that does not recover after its disk was full, and
// against partly written records that remain in the log.
TEST_CASE("a sync that fails on a full disk succeeds once there is space")
{
    const bool with_snapshot = GENERATE(false, true);
    const rlim_t free_bytes = GENERATE(0, 50, 150);
    const temporary_folder folder;
    store_entries(folder.path(), false);
    {
        file_log_storage storage{folder.path()};
        REQUIRE(storage.load().ok());
        storage_write change = make_write(6);
        if (with_snapshot)
        {
            change.snapshot = make_snapshot(5);
        }
        {
            const file_size_limit limit{
                with_snapshot
                    ? free_bytes
                    : fs::file_size(folder.file("log-")) + free_bytes};
            storage.write(change);
            const absl::Status status = storage.sync();
            REQUIRE_FALSE(status.ok());
            CHECK(kind_of(status) == error_kind::storage_failed);
            CHECK_FALSE(storage.sync().ok());
        }
        storage.write(make_write(7));
        REQUIRE(storage.sync().ok());
        storage.write(make_write(8));
        REQUIRE(storage.sync().ok());
    }
    CHECK(count_entries(folder.path()) == (with_snapshot ? 3 : 8));
}

// Guards against temporary files that are loaded as state: a crash during the
// start of a segment leaves them behind.
TEST_CASE("temporary files left by a crash are ignored and removed")
{
    const temporary_folder folder;
    store_entries(folder.path(), false);
    std::ofstream{folder.path() + "/log-9.tmp"} << "half";
    std::ofstream{folder.path() + "/snapshot-9.tmp"} << "half";
    CHECK(count_entries(folder.path()) == 5);
    CHECK(folder.file("log-9").empty());
}
