#include "process/control/document_validator.hpp"

#include "version/configuration/configuration_builder.hpp"

namespace hickorygap
{

namespace
{

std::string_view text_of(std::span<const std::uint8_t> document)
{
    return {reinterpret_cast<const char*>(document.data()), document.size()};
}

// Number of accepted tickets that the cached configuration includes; zero when
// it was built from a different history.
std::size_t cached_ticket_count(
    std::span<const ticket_record> accepted, const configuration_ptr& cached,
    const digest& cached_chain)
{
    if (cached == nullptr || cached->version() == 0 ||
        cached->version() > accepted.size())
    {
        return 0;
    }
    const auto& last = accepted[cached->version() - 1];
    return last.chain == cached_chain ? cached->version() : 0;
}

} // namespace

absl::StatusOr<digest> document_validator::validate(
    std::span<const std::uint8_t> document,
    std::span<const ticket_record> accepted) const
{
    const auto previous = configuration_after(accepted);
    if (!previous.ok())
    {
        return previous.status();
    }
    const auto checked = check_ticket(text_of(document), *previous);
    if (!checked.ok())
    {
        return checked.status();
    }
    return checked->change.document.content_digest;
}

absl::StatusOr<configuration_ptr> document_validator::configuration_after(
    std::span<const ticket_record> accepted) const
{
    const std::size_t cached_count =
        cached_ticket_count(accepted, cached_, cached_chain_);
    if (cached_count == accepted.size())
    {
        return cached_count == 0 ? configuration_ptr{} : cached_;
    }
    configuration_builder builder{cached_count == 0 ? nullptr : cached_};
    for (const ticket_record& record : accepted.subspan(cached_count))
    {
        const auto change = parse_ticket(text_of(record.document));
        if (!change.ok())
        {
            return change.status();
        }
        builder.apply(*change, record.accepted);
    }
    auto built = builder.build();
    if (!built.ok())
    {
        return built.status();
    }
    cached_ = *built;
    cached_chain_ = accepted.back().chain;
    return cached_;
}

} // namespace hickorygap
