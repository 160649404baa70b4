#include "process/replicated_state/state_machine.hpp"

#include <fmt/format.h>
#include <records_generated.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

apply_result
refusal(wire::proposal_status status, std::uint64_t version, std::string detail)
{
    apply_result result;
    result.status = status;
    result.version = version;
    result.detail = std::move(detail);
    return result;
}

apply_result invalid(std::string_view detail)
{
    return refusal(wire::proposal_status::invalid, 0, std::string{detail});
}

constexpr std::string_view unreadable_record =
    "the record can't be read; check that all instances run the same release";

bool is_valid(const wire::call_intent_msg& intent)
{
    return !intent.key.empty() &&
           intent.request_digest.size() == digest{}.size();
}

constexpr std::string_view invalid_intent =
    "the call has no idempotency key or no digest; send both";

digest digest_from(std::span<const std::uint8_t> bytes)
{
    digest result{};
    std::copy_n(
        bytes.begin(), std::min(bytes.size(), result.size()), result.begin());
    return result;
}

std::vector<std::uint8_t> bytes_of(const digest& value)
{
    return {value.begin(), value.end()};
}

// Like decode_table, but without its limit on the number of FlatBuffers tables,
// because a snapshot may contain more than a million.
std::unique_ptr<wire::state_snapshot_msg>
decode_snapshot(std::span<const std::uint8_t> data)
{
    constexpr flatbuffers::uoffset_t max_depth = 16;
    constexpr flatbuffers::uoffset_t max_tables = 0x7fffffff;
    flatbuffers::Verifier verifier{
        data.data(), data.size(), max_depth, max_tables};
    if (!verifier.VerifyBuffer<wire::state_snapshot>(nullptr))
    {
        return nullptr;
    }
    auto snapshot = std::make_unique<wire::state_snapshot_msg>();
    flatbuffers::GetRoot<wire::state_snapshot>(data.data())
        ->UnPackTo(snapshot.get());
    return snapshot;
}

} // namespace

state_machine::state_machine(
    call_record_options options,
    std::shared_ptr<const ticket_validator> validator)
    : validator_{std::move(validator)}
    , calls_{options}
{
}

std::optional<apply_result> state_machine::answer(
    wire::entry_kind kind, std::span<const std::uint8_t> data) const
{
    if (kind == wire::entry_kind::ticket)
    {
        const auto ticket = decode_table<wire::ticket_entry>(data);
        return ticket.ok() ? answer_ticket(*ticket)
                           : invalid(unreadable_record);
    }
    if (kind == wire::entry_kind::call_intent)
    {
        const auto intent = decode_table<wire::call_intent>(data);
        if (!intent.ok() || !is_valid(*intent))
        {
            return invalid(intent.ok() ? invalid_intent : unreadable_record);
        }
        return calls_.answer(*intent);
    }
    if (kind == wire::entry_kind::call_outcome)
    {
        const auto outcome = decode_table<wire::call_outcome>(data);
        if (outcome.ok())
        {
            return std::nullopt;
        }
        return invalid(unreadable_record);
    }
    return invalid("only tickets, intents and outcomes can be proposed");
}

std::optional<apply_result>
state_machine::answer_ticket(const wire::ticket_entry_msg& ticket) const
{
    const configuration_version next = version() + 1;
    if (ticket.number == 0 || ticket.number > next)
    {
        return refusal(
            wire::proposal_status::invalid, version(),
            fmt::format(
                "ticket number {} is not the next free one; file the ticket "
                "under number {}",
                ticket.number, next));
    }
    const std::span<const ticket_record> before{
        tickets_.data(), static_cast<std::size_t>(ticket.number - 1)};
    if (ticket.number == next)
    {
        const auto checked = validator_->validate(ticket.document, before);
        if (checked.ok())
        {
            return std::nullopt;
        }
        return refusal(
            wire::proposal_status::invalid, version(),
            std::string{checked.status().message()});
    }
    const ticket_record& known = tickets_[before.size()];
    if (known.document == ticket.document)
    {
        return accepted(known);
    }
    const auto checked = validator_->validate(ticket.document, before);
    if (checked.ok() && *checked == known.canonical_digest)
    {
        return accepted(known);
    }
    return refusal(
        wire::proposal_status::conflict, version(),
        fmt::format(
            "ticket {} was accepted at {} with other content; read it, and "
            "file this change under the next free number {}",
            ticket.number, format_utc(known.accepted), next));
}

apply_result state_machine::accepted(const ticket_record& record) const
{
    apply_result result;
    result.status = wire::proposal_status::accepted;
    result.version = record.number;
    result.accepted = record.accepted;
    result.recorded = record.document;
    return result;
}

apply_result state_machine::apply(const wire::log_entry_msg& entry)
{
    if (entry.index <= applied_index_)
    {
        return invalid("the entry was applied before");
    }
    applied_index_ = entry.index;
    switch (entry.kind)
    {
    case wire::entry_kind::ticket:
        return apply_ticket(entry.data);
    case wire::entry_kind::call_intent:
        return apply_intent(entry.data);
    case wire::entry_kind::call_outcome:
        return apply_outcome(entry.data);
    default:
        // raft_node handles the other kinds, such as voter lists.
        return {};
    }
}

apply_result state_machine::apply_ticket(std::span<const std::uint8_t> data)
{
    auto ticket = decode_table<wire::ticket_entry>(data);
    if (!ticket.ok())
    {
        return invalid(unreadable_record);
    }
    const unix_millis now = advance_time(ticket->accepted_unix_ms);
    if (auto known = answer_ticket(*ticket))
    {
        return *std::move(known);
    }
    const auto checked = validator_->validate(ticket->document, tickets_);
    ticket_record record;
    record.number = ticket->number;
    record.document = std::move(ticket->document);
    record.canonical_digest = checked.value_or(digest{});
    record.accepted = now;
    record.chain = ticket_chain(
        tickets_.empty() ? digest{} : tickets_.back().chain, record);
    tickets_.push_back(std::move(record));
    return accepted(tickets_.back());
}

apply_result state_machine::apply_intent(std::span<const std::uint8_t> data)
{
    auto intent = decode_table<wire::call_intent>(data);
    if (!intent.ok() || !is_valid(*intent))
    {
        return invalid(intent.ok() ? invalid_intent : unreadable_record);
    }
    call_chain_ = chain_digest(call_chain_, data);
    const unix_millis now = advance_time(intent->created_unix_ms);
    return calls_.add_intent(*std::move(intent), now);
}

apply_result state_machine::apply_outcome(std::span<const std::uint8_t> data)
{
    auto outcome = decode_table<wire::call_outcome>(data);
    if (!outcome.ok())
    {
        return invalid(unreadable_record);
    }
    call_chain_ = chain_digest(call_chain_, data);
    const unix_millis now = advance_time(outcome->ended_unix_ms);
    return calls_.add_outcome(*std::move(outcome), now);
}

unix_millis state_machine::advance_time(unix_millis time)
{
    last_time_ = std::max(last_time_, time);
    return last_time_;
}

std::vector<std::uint8_t> state_machine::snapshot() const
{
    wire::state_snapshot_msg snapshot;
    snapshot.applied_index = applied_index_;
    snapshot.last_unix_ms = last_time_;
    snapshot.call_chain = bytes_of(call_chain_);
    for (const ticket_record& record : tickets_)
    {
        auto item = std::make_unique<wire::ticket_record_msg>();
        item->number = record.number;
        item->document = record.document;
        item->digest = bytes_of(record.canonical_digest);
        item->accepted_unix_ms = record.accepted;
        item->chain = bytes_of(record.chain);
        snapshot.tickets.push_back(std::move(item));
    }
    calls_.save(snapshot);
    return encode_table<wire::state_snapshot>(snapshot);
}

absl::Status state_machine::restore(std::span<const std::uint8_t> data)
{
    const auto snapshot = decode_snapshot(data);
    if (!snapshot)
    {
        return make_error(
            error_kind::storage_damaged,
            "the snapshot can't be read; check that all voters run the same "
            "release, else start this voter with an empty data folder");
    }
    std::vector<ticket_record> tickets;
    for (auto& item : snapshot->tickets)
    {
        ticket_record record;
        record.number = item->number;
        record.document = std::move(item->document);
        record.canonical_digest = digest_from(item->digest);
        record.accepted = item->accepted_unix_ms;
        record.chain = digest_from(item->chain);
        tickets.push_back(std::move(record));
    }
    if (absl::Status status = verify_chain(tickets); !status.ok())
    {
        return status;
    }
    tickets_ = std::move(tickets);
    applied_index_ = snapshot->applied_index;
    last_time_ = snapshot->last_unix_ms;
    call_chain_ = digest_from(snapshot->call_chain);
    calls_.restore(*snapshot);
    return absl::OkStatus();
}

} // namespace hickorygap
