#include "process/replicated_state/ticket_record.hpp"

#include "common/error.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace hickorygap
{

namespace
{

absl::Status chain_broken(configuration_version number, std::string_view what)
{
    return make_error(
        error_kind::storage_damaged,
        fmt::format(
            "ticket {} {}; the history was changed or damaged, compare it "
            "with the history of another voter",
            number, what));
}

} // namespace

digest ticket_chain(const digest& previous, const ticket_record& record)
{
    return ticket_chain(
        previous, record.number, record.accepted, record.canonical_digest,
        record.document);
}

absl::Status verify_chain(std::span<const ticket_record> history)
{
    digest previous{};
    unix_millis last_accepted = 0;
    configuration_version expected = 1;
    for (const ticket_record& record : history)
    {
        if (record.number != expected)
        {
            return chain_broken(expected, "is missing");
        }
        if (record.accepted < last_accepted)
        {
            return chain_broken(expected, "is older than the one before");
        }
        if (record.chain != ticket_chain(previous, record))
        {
            return chain_broken(expected, "does not match its chain value");
        }
        previous = record.chain;
        last_accepted = record.accepted;
        ++expected;
    }
    return absl::OkStatus();
}

} // namespace hickorygap
