#include "common/logging.hpp"
#include "process/membership/evidence_codec.hpp"
#include "process/membership/version_log_file.hpp"
#include "process/membership/version_sync.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <filesystem>
#include <fstream>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

const time_point start{1s};

std::vector<version_document> make_documents(std::size_t count)
{
    std::vector<version_document> documents;
    digest chain{};
    for (std::size_t i = 1; i <= count; ++i)
    {
        version_document document;
        document.version = i;
        document.document.assign(100, static_cast<std::uint8_t>(i));
        document.accepted = 1000 + i;
        document.chain = ticket_chain(
            chain, document.version, document.accepted, document.content_digest,
            document.document);
        chain = document.chain;
        documents.push_back(std::move(document));
    }
    return documents;
}

wire::payloadUnion announce(configuration_version version)
{
    wire::ping_msg ping;
    ping.version = version;
    return make_payload(std::move(ping));
}

wire::payloadUnion push_of(
    std::span<const version_document> documents, configuration_version current)
{
    wire::version_push_msg push;
    push.current = current;
    for (const version_document& document : documents)
    {
        push.entries.push_back(
            std::make_unique<wire::version_entry_msg>(to_wire(document)));
    }
    return make_payload(std::move(push));
}

version_sync make_sync(instance_id self)
{
    set_log_level(log_level::error);
    version_sync_options options;
    options.self = self;
    return version_sync{options, start};
}

std::vector<version_document_ptr>
share(std::span<const version_document> documents)
{
    std::vector<version_document_ptr> result;
    for (const version_document& document : documents)
    {
        result.push_back(std::make_shared<const version_document>(document));
    }
    return result;
}

} // namespace

// Guards against an instance that keeps waiting for a member that does not
// answer although another member has the document.
TEST_CASE("a pull that gets no answer goes to another member")
{
    version_sync sync = make_sync(1);
    sync.receive(2, announce(1), start);
    sync.receive(3, announce(1), start);
    const auto first = sync.take_outgoing();
    REQUIRE(first.size() == 1);
    sync.tick(start + 999ms);
    CHECK(sync.take_outgoing().empty());
    sync.tick(start + 1s);
    const auto second = sync.take_outgoing();
    REQUIRE(second.size() == 1);
    CHECK(first[0].destination != second[0].destination);
}

// Guards against applying a forged, damaged or reordered history.
TEST_CASE("a document that does not fit the hash chain is refused")
{
    auto documents = make_documents(3);
    version_sync sync = make_sync(1);
    sync.receive(2, announce(3), start);
    documents[1].document[0] ^= 1U;
    sync.receive(2, push_of(documents, 3), start);
    CHECK(sync.version() == 1);
    CHECK(sync.counters().chain_errors == 1);
    documents[1].document[0] ^= 1U;
    sync.receive(3, push_of(documents, 3), start);
    CHECK(sync.version() == 3);
    sync.receive(3, push_of(documents, 3), start);
    CHECK(sync.version() == 3);
    const auto fresh = sync.take_new_documents();
    REQUIRE(fresh.size() == 3);
    CHECK(fresh[2]->version == 3);
    CHECK(sync.take_new_documents().empty());
    CHECK(sync.chain() == documents[2].chain);
}

// Guards against an instance that takes work on an older configuration than it
// had applied before its restart.
TEST_CASE("an instance is below its floor until it has caught up")
{
    const auto documents = make_documents(3);
    version_sync sync = make_sync(1);
    REQUIRE(sync.restore(std::span{documents}.first(1)).ok());
    sync.set_floor(3);
    CHECK_FALSE(sync.reached_floor());
    sync.receive(2, push_of(std::span{documents}.subspan(1), 3), start);
    CHECK(sync.reached_floor());
    CHECK(
        kind_of(sync.add(make_documents(6)[5])) == error_kind::invalid_request);
}

// Guards against pushes above the batch limit, and against an instance that
// spends more than its serving budget on one that catches up.
TEST_CASE("served documents stay within the batch limit and the budget")
{
    version_sync_options options;
    options.max_push_bytes = 1000;
    options.served_bytes_per_second = 1000;
    options.served_burst_bytes = 2000;
    version_sync sync{options, start};
    REQUIRE(sync.restore(make_documents(100)).ok());
    const auto served = [&](time_point now)
    {
        sync.receive(2, make_payload(wire::version_pull_msg{}), now);
        const auto answers = sync.take_outgoing();
        REQUIRE(answers.size() == 1);
        const auto* push =
            message_in<wire::version_push_msg>(answers[0].payload);
        REQUIRE(push != nullptr);
        CHECK(push->current == 100);
        return push->entries.size();
    };
    CHECK(served(start) == 5);
    CHECK(served(start) == 5);
    CHECK(served(start) == 5);
    CHECK(served(start) == 0);
    CHECK(served(start + 2s) == 5);
}

// A crash during append leaves an incomplete last record. Guards against a file
// that is unusable after that, that loses intact records, or that returns the
// incomplete one.
TEST_CASE("the version file recovers from a truncated last record")
{
    set_log_level(log_level::error);
    rc::prop(
        "cut anywhere in the last record",
        []
        {
            const Poco::TemporaryFile file;
            const std::filesystem::path path{file.path()};
            const auto documents = make_documents(3);
            auto log = version_log_file::open(path);
            RC_ASSERT(log.ok());
            const auto shared = share(documents);
            RC_ASSERT((*log)->append(std::span{shared}.first(2)).ok());
            const auto intact = std::filesystem::file_size(path);
            RC_ASSERT((*log)->append(shared).ok());
            const auto whole = std::filesystem::file_size(path);
            log->reset();
            const auto cut = *rc::gen::inRange<std::uintmax_t>(intact, whole);
            std::filesystem::resize_file(path, cut);
            auto again = version_log_file::open(path);
            RC_ASSERT(again.ok());
            RC_ASSERT((*again)->last_version() == 2U);
            RC_ASSERT((*again)->append(shared).ok());
            again->reset();
            auto third = version_log_file::open(path);
            RC_ASSERT(third.ok());
            version_sync sync = make_sync(1);
            RC_ASSERT(sync.restore((*third)->take_documents()).ok());
            RC_ASSERT(sync.version() == 3U);
            RC_ASSERT(sync.reached_floor());
        });
}

// Guards against a silent return to an older version when a record in the
// middle of the file is damaged.
TEST_CASE("damage before the end of the version file is an error")
{
    const Poco::TemporaryFile file;
    const std::filesystem::path path{file.path()};
    {
        auto log = version_log_file::open(path);
        REQUIRE(log.ok());
        REQUIRE((*log)->append(share(make_documents(3))).ok());
        const auto later = make_documents(6);
        CHECK(
            kind_of((*log)->append(share(std::span{later}.last(1)))) ==
            error_kind::invalid_request);
    }
    std::fstream stream{path, std::ios::in | std::ios::out | std::ios::binary};
    stream.seekp(40);
    stream.put('x');
    stream.put('y');
    stream.close();
    CHECK(
        kind_of(version_log_file::open(path).status()) ==
        error_kind::storage_damaged);
}

// Guards against evidence that is decoded for another instance or rounded to
// look fresher, and against a crash on damaged bytes.
TEST_CASE("evidence is unchanged by encoding and decoding")
{
    rc::prop(
        "for any ids",
        [](std::set<instance_id> ids, const std::vector<std::uint8_t>& damage)
        {
            std::vector<evidence_entry> entries;
            for (const instance_id id : ids)
            {
                evidence_entry entry;
                entry.instance = id;
                entry.applied = *rc::gen::arbitrary<bool>();
                if (*rc::gen::arbitrary<bool>())
                {
                    entry.age = duration{*rc::gen::inRange(0, 30'000'000)};
                }
                entries.push_back(entry);
            }
            auto bytes = encode_evidence(entries);
            const auto decoded = decode_evidence(bytes);
            RC_ASSERT(decoded.ok());
            RC_ASSERT(decoded->size() == entries.size());
            for (std::size_t i = 0; i < entries.size(); ++i)
            {
                const evidence_entry& before = entries[i];
                const evidence_entry& after = (*decoded)[i];
                RC_ASSERT(after.instance == before.instance);
                RC_ASSERT(after.applied == before.applied);
                const bool known =
                    before.age && *before.age <= max_evidence_age;
                RC_ASSERT(after.age.has_value() == known);
                RC_ASSERT(!known || *after.age >= *before.age);
                RC_ASSERT(!known || *after.age < *before.age + evidence_step);
            }
            (void)decode_evidence(damage);
            if (!bytes.empty())
            {
                bytes.pop_back();
                RC_ASSERT(!decode_evidence(bytes).ok());
            }
        });
}
