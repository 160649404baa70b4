#include "common/error.hpp"
#include "process/decision_record/decision_store.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <rapidcheck/catch.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

using namespace hickorygap;

namespace
{

namespace fs = std::filesystem;

// Folder that is removed by the destructor.
class temporary_folder
{
public:
    temporary_folder()
        : path_(
              fs::temp_directory_path() /
              fmt::format("hickorygap-test-{}-{}", ::getpid(), ++folders_made))
    {
        fs::remove_all(path_);
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        fs::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string string() const
    {
        return path_.string();
    }

    std::vector<fs::path> files(const std::string& extension) const
    {
        std::vector<fs::path> result;
        for (const auto& entry : fs::directory_iterator{path_})
        {
            if (entry.path().extension() == extension)
            {
                result.push_back(entry.path());
            }
        }
        std::sort(result.begin(), result.end());
        return result;
    }

private:
    static inline int folders_made = 0;
    fs::path path_;
};

// Chained batches of three records each; record n has time 1000 * n.
std::vector<wire::decision_batch_msg>
make_chain(instance_id instance, incarnation_number incarnation, int count)
{
    std::vector<wire::decision_batch_msg> result;
    digest previous = initial_chain_digest(instance, incarnation);
    std::uint64_t number = 0;
    for (int i = 1; i <= count; ++i)
    {
        wire::decision_batch_msg batch;
        batch.instance = instance;
        batch.incarnation = incarnation;
        batch.sequence = static_cast<std::uint64_t>(i);
        for (int j = 0; j < 3; ++j)
        {
            auto record = std::make_unique<wire::decision_record_msg>();
            record->request = ++number;
            record->unix_ms = number * 1000;
            record->chat = number % 5 + 1;
            record->organisation = number % 2 + 1;
            record->candidates = {1, 2, 3};
            record->loads = {4, 5, 6};
            record->choice = 2;
            batch.records.push_back(std::move(record));
        }
        previous = seal_batch(batch, previous);
        result.push_back(std::move(batch));
    }
    return result;
}

std::unique_ptr<decision_store> open_store(
    const temporary_folder& folder, std::uint64_t file_bytes = 64'000'000)
{
    auto store = decision_store::open(folder.string(), {file_bytes});
    REQUIRE(store.ok());
    return *std::move(store);
}

} // namespace

// Guards against a stored record that is altered without being detected.
TEST_CASE("the hash chain detects every altered byte")
{
    rc::prop(
        "a batch with a flipped bit is rejected or has the same content",
        []()
        {
            const auto chain = make_chain(3, 9, 2);
            const auto& original = chain.back();
            auto bytes = encode_table<wire::decision_batch>(original);
            const auto position =
                *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[position] ^=
                static_cast<std::uint8_t>(1U << *rc::gen::inRange(0, 8));
            const auto changed = decode_table<wire::decision_batch>(bytes);
            if (!changed.ok())
            {
                return;
            }
            const auto segment = segment_of(*changed);
            // Flipped bits in padding bytes leave the content the same.
            chain_index index;
            index.add({3, 9}, *segment_of(chain.front()));
            RC_ASSERT(
                !segment || changed->instance != 3 ||
                changed->incarnation != 9 ||
                index.add({3, 9}, *segment) ==
                    chain_index::add_result::mismatch ||
                encode_table<wire::decision_batch>(*changed) ==
                    encode_table<wire::decision_batch>(original));
        });
}

// Guards against gaps that are not reported, or still reported after the
// missing batches have arrived.
TEST_CASE("gaps are exactly the batches that are missing")
{
    rc::prop(
        "batches in any order leave the expected gaps",
        []()
        {
            const auto count = *rc::gen::inRange(1, 25);
            auto chain = make_chain(3, 9, count);
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            std::mt19937 engine{seed};
            std::shuffle(chain.begin(), chain.end(), engine);
            const auto held = *rc::gen::inRange(0, count + 1);
            chain_index index;
            std::set<std::uint64_t> missing;
            std::uint64_t last = 0;
            for (int i = 0; i < count; ++i)
            {
                const auto& batch = chain[static_cast<std::size_t>(i)];
                if (i >= held)
                {
                    missing.insert(batch.sequence);
                    continue;
                }
                last = std::max(last, batch.sequence);
                RC_ASSERT(
                    index.add({3, 9}, *segment_of(batch)) ==
                    chain_index::add_result::added);
                RC_ASSERT(
                    index.add({3, 9}, *segment_of(batch)) ==
                    chain_index::add_result::duplicate);
            }
            // The index can't know of batches after the last one it holds.
            missing.erase(missing.upper_bound(last), missing.end());
            std::set<std::uint64_t> found;
            for (const decision_gap& gap : index.gaps())
            {
                for (auto n = gap.first_sequence; n <= gap.last_sequence; ++n)
                {
                    found.insert(n);
                }
            }
            RC_ASSERT(found == missing);
        });
}

// Guards against a chain that looks complete although a crash lost its last
// batches.
TEST_CASE("an unclosed chain has a gap at its end once the instance restarts")
{
    chain_index index;
    index.add({3, 9}, *segment_of(make_chain(3, 9, 1).front()));
    CHECK(index.gaps().empty());
    index.add({3, 12}, *segment_of(make_chain(3, 12, 1).front()));
    CHECK(
        index.gaps() ==
        std::vector<decision_gap>{{3, 9, 2, decision_gap::unknown_end}});
}

// Guards against records that are lost or returned twice after restarts, file
// rotation and repeated batches.
TEST_CASE("a store keeps every batch that it acknowledged exactly once")
{
    const temporary_folder folder;
    const auto chain = make_chain(3, 9, 40);
    std::size_t acknowledged = 0;
    for (std::size_t i = 0; i < chain.size(); ++i)
    {
        // Files rotate after 2000 bytes, and the store is reopened every time.
        const auto store = open_store(folder, 2000);
        for (std::size_t j = i; j < std::min(i + 5, chain.size()); ++j)
        {
            REQUIRE(store->append(chain[j]).ok());
        }
        const auto acknowledgements = store->sync();
        REQUIRE(acknowledgements.ok());
        acknowledged += acknowledgements->size();
        CHECK(store->sync()->empty());
    }
    CHECK(acknowledged == 36 * 5 + 4 + 3 + 2 + 1);
    CHECK(folder.files(".records").size() > 3);
    const auto store = open_store(folder, 2000);
    const auto verified = store->verify();
    REQUIRE(verified.ok());
    CHECK(verified->batches == 40);
    CHECK(verified->records == 120);
    CHECK(verified->gaps.empty());
    CHECK(verified->corruptions.empty());
    const auto all = store->query({.limit = 1000});
    REQUIRE(all.ok());
    REQUIRE(all->decisions.size() == 120);
    for (std::size_t i = 0; i < 120; ++i)
    {
        CHECK(all->decisions[i].record.request == i + 1);
    }
}

// Guards against filters that return the wrong records.
TEST_CASE("records are found by organisation and chat and time")
{
    const temporary_folder folder;
    const auto store = open_store(folder, 2000);
    for (const auto& batch : make_chain(3, 9, 20))
    {
        REQUIRE(store->append(batch).ok());
    }
    const auto [query, expected] =
        GENERATE(table<decision_query, std::vector<std::uint64_t>>(
            {{{.organisation = 2, .to = 7000}, {1, 3, 5, 7}},
             {{.chat = 2, .to = 20'000}, {1, 6, 11, 16}},
             {{.organisation = 1, .chat = 2, .to = 20'000}, {6, 16}},
             {{.from = 4000, .to = 6000}, {4, 5, 6}},
             {{.from = 59'000}, {59, 60}},
             {{.limit = 2}, {1, 2}},
             {{.organisation = 77}, {}}}));
    const auto result = store->query(query);
    REQUIRE(result.ok());
    std::vector<std::uint64_t> found;
    for (const stored_decision& decision : result->decisions)
    {
        found.push_back(decision.record.request);
    }
    CHECK(found == expected);
    CHECK(result->truncated == (query.limit == 2));
}

// Guards against a crash in the middle of a write, after which the store can't
// be opened or returns the incomplete frame as a record.
TEST_CASE("a torn frame at the end of the last file is truncated")
{
    const auto torn_bytes = GENERATE(1, 5, 11, 12, 13, 100);
    const bool zero_filled = GENERATE(false, true);
    const temporary_folder folder;
    const auto chain = make_chain(3, 9, 3);
    REQUIRE(open_store(folder)->append(chain[0]).ok());
    const auto path = folder.files(".records").front();
    const auto intact_bytes = fs::file_size(path);
    REQUIRE(open_store(folder)->append(chain[1]).ok());
    fs::resize_file(
        path, intact_bytes + static_cast<std::uintmax_t>(torn_bytes));
    if (zero_filled)
    {
        fs::resize_file(path, intact_bytes);
        fs::resize_file(
            path, intact_bytes + static_cast<std::uintmax_t>(torn_bytes));
    }
    const auto store = open_store(folder);
    CHECK(fs::file_size(path) == intact_bytes);
    REQUIRE(store->append(chain[1]).ok());
    REQUIRE(store->append(chain[2]).ok());
    const auto verified = store->verify();
    CHECK(verified->batches == 3);
    CHECK(verified->corruptions.empty());
    CHECK(verified->gaps.empty());
}

// Guards against a damaged frame in the middle of a file that is truncated
// together with the valid frames after it, or that verify() misses.
TEST_CASE("a damaged file is kept and reported")
{
    // Damages the length field of the second frame, or the content of a frame.
    const bool in_length = GENERATE(false, true);
    const temporary_folder folder;
    const auto chain = make_chain(3, 9, 6);
    {
        const auto store = open_store(folder);
        for (int i = 0; i < 4; ++i)
        {
            REQUIRE(store->append(chain[static_cast<std::size_t>(i)]).ok());
        }
    }
    const auto first_frame =
        make_frame(encode_table<wire::decision_batch>(chain[0])).size();
    const auto path = folder.files(".records").front();
    const auto size = fs::file_size(path);
    {
        std::fstream file{
            path, std::ios::in | std::ios::out | std::ios::binary};
        file.seekp(static_cast<std::streamoff>(
            in_length ? first_frame + 1 : size / 2));
        file.put('\x5a');
    }
    const auto store = open_store(folder);
    CHECK(fs::file_size(path) == size);
    REQUIRE(store->append(chain[4]).ok());
    const auto verified = store->verify();
    REQUIRE(verified.ok());
    CHECK(verified->corruptions.size() == 1);
    CHECK(verified->gaps.size() == 1);
    // The damaged batches can be stored again.
    for (const auto& batch : chain)
    {
        CHECK(store->append(batch).ok());
    }
    CHECK(store->verify()->gaps.empty());
}

// Guards against a query that ends the process, or loses the records after it,
// because a frame with a valid checksum holds something other than a batch.
TEST_CASE("a query passes over a frame that is no batch")
{
    const temporary_folder folder;
    const auto chain = make_chain(3, 9, 2);
    REQUIRE(open_store(folder)->append(chain[0]).ok());
    {
        std::ofstream file{
            folder.files(".records").front(), std::ios::binary | std::ios::app};
        const auto frame = make_frame(std::vector<std::uint8_t>(64, 0xFE));
        file.write(
            reinterpret_cast<const char*>(frame.data()),
            static_cast<std::streamsize>(frame.size()));
    }
    const auto store = open_store(folder);
    REQUIRE(store->append(chain[1]).ok());
    const auto found = store->query({});
    REQUIRE(found.ok());
    CHECK(found->decisions.size() == 6);
    CHECK(store->verify()->corruptions.size() == 1);
}

// Guards against storing a batch that was altered, or whose preceding digest is
// not the digest of the batch before it.
TEST_CASE("batches that do not match their hash chain are refused")
{
    const temporary_folder folder;
    const auto store = open_store(folder);
    auto chain = make_chain(3, 9, 3);
    REQUIRE(store->append(chain[0]).ok());
    auto forged = chain[1];
    forged.records.front()->choice = 3;
    CHECK(kind_of(store->append(forged)) == error_kind::invalid_request);
    seal_batch(forged, sha256(std::string_view{"other"}));
    CHECK(kind_of(store->append(forged)) == error_kind::invalid_request);
    CHECK(store->append(chain[1]).ok());
}

namespace
{

// Lets the open file of the process refer to a device that accepts writes and
// cannot be synced, like a failing disk.
void replace_by_unsyncable_device(const fs::path& file)
{
    const int device = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    REQUIRE(device >= 0);
    bool replaced = false;
    for (const auto& entry : fs::directory_iterator{"/proc/self/fd"})
    {
        std::error_code closed;
        if (fs::read_symlink(entry.path(), closed) == file)
        {
            const int open_file = std::stoi(entry.path().filename().string());
            replaced = ::dup2(device, open_file) == open_file;
        }
    }
    ::close(device);
    REQUIRE(replaced);
}

} // namespace

// Guards against a report of the first failed sync that names no cause but an
// earlier loss, when there was none.
TEST_CASE("the first failed sync names the error of the disk")
{
    const bool by_rotation = GENERATE(false, true);
    CAPTURE(by_rotation);
    temporary_folder folder;
    const auto store = open_store(folder, by_rotation ? 1 : 64'000'000);
    const auto chain = make_chain(1, 100, 3);
    REQUIRE(store->append(chain[0]).ok());
    replace_by_unsyncable_device(folder.files(".records").back());
    const absl::Status first =
        by_rotation ? store->append(chain[1]) : store->sync().status();
    CHECK_THAT(
        std::string{first.message()}, Catch::Contains(std::strerror(EINVAL)));
    const absl::Status later = store->append(chain[2]);
    CHECK_THAT(
        std::string{later.message()},
        Catch::Contains("an earlier write was lost"));
}
