#include "process/membership/version_sync.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Bytes of one document in a push besides its text: digests, numbers, offsets.
constexpr std::size_t document_overhead = 80;

absl::Status make_chain_error(configuration_version version)
{
    return make_error(
        error_kind::storage_damaged,
        fmt::format(
            "the document of ticket {} does not fit the hash chain; keep the "
            "data folder for inspection and restart with an empty one",
            version));
}

} // namespace

version_sync::version_sync(version_sync_options options, time_point now)
    : options_{options}
    , random_{options.random_seed}
    , serve_budget_bytes_{static_cast<std::int64_t>(options.served_burst_bytes)}
    , last_refill_{now}
{
}

digest version_sync::chain() const
{
    return documents_.empty() ? digest{} : documents_.back()->chain;
}

version_document_ptr version_sync::find(configuration_version version) const
{
    return version == 0 || version > documents_.size()
               ? nullptr
               : documents_[version - 1];
}

bool version_sync::append_verified(version_document document)
{
    if (document.version != version() + 1 ||
        document.chain != ticket_chain(
                              chain(), document.version, document.accepted,
                              document.content_digest, document.document))
    {
        return false;
    }
    auto shared = std::make_shared<const version_document>(std::move(document));
    documents_.push_back(shared);
    new_documents_.push_back(std::move(shared));
    return true;
}

absl::Status version_sync::restore(std::span<const version_document> documents)
{
    for (const version_document& document : documents)
    {
        if (!append_verified(document))
        {
            return make_chain_error(document.version);
        }
    }
    set_floor(version());
    return absl::OkStatus();
}

absl::Status version_sync::add(version_document document)
{
    const configuration_version number = document.version;
    if (const version_document_ptr known = find(number))
    {
        return known->chain == document.chain ? absl::OkStatus()
                                              : make_chain_error(number);
    }
    if (number != version() + 1)
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "ticket {} does not follow ticket {}; add tickets in order",
                number, version()));
    }
    return append_verified(std::move(document)) ? absl::OkStatus()
                                                : make_chain_error(number);
}

void version_sync::set_floor(configuration_version floor)
{
    floor_ = std::max(floor_, floor);
}

void version_sync::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    if (const auto* ping = message_in<wire::ping_msg>(payload))
    {
        record_announced_version(from, ping->version, now);
    }
    else if (const auto* ack = message_in<wire::ping_ack_msg>(payload))
    {
        record_announced_version(from, ack->version, now);
    }
    else if (const auto* pull = message_in<wire::version_pull_msg>(payload))
    {
        serve(from, *pull, now);
    }
    else if (const auto* push = message_in<wire::version_push_msg>(payload))
    {
        handle_push(from, *push, now);
    }
}

void version_sync::record_announced_version(
    instance_id from, configuration_version version, time_point now)
{
    if (from == options_.self)
    {
        return;
    }
    // The backoff of a source is kept; otherwise a member that sends pings but
    // never answers a pull would be asked again after each ping.
    sources_[from].version = version;
    highest_announced_ = std::max(highest_announced_, version);
    pull_if_behind(now);
}

void version_sync::pull_if_behind(time_point now)
{
    if (pull_)
    {
        return;
    }
    std::vector<instance_id> preferred;
    std::vector<instance_id> others;
    for (const auto& [id, source] : sources_)
    {
        if (source.version > version() && now >= source.usable_from)
        {
            (now >= source.preferred_from ? preferred : others).push_back(id);
        }
    }
    const auto& candidates = preferred.empty() ? others : preferred;
    if (candidates.empty())
    {
        return;
    }
    const instance_id chosen =
        candidates[random_below(random_, candidates.size())];
    pull_ = outstanding_pull{chosen, now};
    ++counters_.pulls_sent;
    wire::version_pull_msg pull;
    pull.from_version = version();
    outgoing_.push_back(make_outgoing(chosen, pull));
}

void version_sync::tick(time_point now)
{
    // Removes sources that have nothing new and no backoff to remember. A
    // member that is gone keeps its last version, so it is removed once this
    // instance has caught up with that.
    std::erase_if(
        sources_,
        [&](const auto& item)
        {
            return item.second.version <= version() &&
                   now >= item.second.usable_from &&
                   now >= item.second.preferred_from;
        });
    if (pull_ && now - pull_->sent >= options_.pull_timeout)
    {
        ++counters_.pulls_timed_out;
        sources_[pull_->from].preferred_from =
            now + options_.unresponsive_backoff;
        pull_.reset();
    }
    pull_if_behind(now);
}

void version_sync::refill(time_point now)
{
    const duration passed = now - last_refill_;
    last_refill_ = now;
    const auto added = static_cast<std::int64_t>(
        options_.served_bytes_per_second *
        static_cast<std::uint64_t>(passed.count()) / 1'000'000U);
    serve_budget_bytes_ = std::min(
        serve_budget_bytes_ + added,
        static_cast<std::int64_t>(options_.served_burst_bytes));
}

void version_sync::serve(
    instance_id to, const wire::version_pull_msg& pull, time_point now)
{
    refill(now);
    wire::version_push_msg push;
    push.current = version();
    std::size_t bytes = 0;
    for (configuration_version next = pull.from_version + 1;
         serve_budget_bytes_ > 0 && next <= version(); ++next)
    {
        const version_document& document = *documents_[next - 1];
        const std::size_t size = document.document.size() + document_overhead;
        if (bytes > 0 && bytes + size > options_.max_push_bytes)
        {
            break;
        }
        bytes += size;
        push.entries.push_back(
            std::make_unique<wire::version_entry_msg>(to_wire(document)));
        ++counters_.documents_served;
    }
    serve_budget_bytes_ -= static_cast<std::int64_t>(bytes);
    if (push.entries.empty())
    {
        ++counters_.pulls_refused_busy;
    }
    outgoing_.push_back(make_outgoing(to, std::move(push)));
}

void version_sync::handle_push(
    instance_id from, const wire::version_push_msg& push, time_point now)
{
    source& origin = sources_[from];
    origin.version = push.current;
    highest_announced_ = std::max(highest_announced_, push.current);
    if (pull_ && pull_->from == from)
    {
        pull_.reset();
    }
    if (push.entries.empty())
    {
        origin.usable_from = now + options_.busy_backoff;
    }
    for (const auto& entry : push.entries)
    {
        if (entry->version <= version())
        {
            continue;
        }
        if (entry->version > version() + 1)
        {
            // Pushes arrived out of order; the next pull fills the gap.
            break;
        }
        if (!append_verified(from_wire(*entry)))
        {
            ++counters_.chain_errors;
            origin.usable_from = now + options_.chain_error_backoff;
            log(log_level::error, subsystem::configuration,
                "document refused: does not fit the hash chain from={} "
                "version={}",
                from, entry->version);
            break;
        }
        ++counters_.documents_received;
    }
    pull_if_behind(now);
}

std::vector<outgoing_message> version_sync::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<version_document_ptr> version_sync::take_new_documents()
{
    return std::exchange(new_documents_, {});
}

} // namespace hickorygap
