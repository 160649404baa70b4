#include "process/control/configuration_tracker.hpp"

#include "common/logging.hpp"
#include "version/configuration/configuration_builder.hpp"

namespace hickorygap
{

namespace
{

std::string_view text_of(const version_document& document)
{
    return {
        reinterpret_cast<const char*>(document.document.data()),
        document.document.size()};
}

} // namespace

configuration_tracker::configuration_tracker()
    : current_(std::make_shared<const configuration>())
{
}

absl::Status configuration_tracker::apply(
    std::span<const version_document_ptr> documents, unix_millis now)
{
    if (documents.empty())
    {
        return absl::OkStatus();
    }
    configuration_builder builder{current_.load()};
    voter_change voters = voter_change_;
    for (const version_document_ptr& document : documents)
    {
        const absl::StatusOr<ticket> change = parse_ticket(text_of(*document));
        if (!change.ok())
        {
            return change.status();
        }
        if (change->voters)
        {
            voters = {document->version, *change->voters};
        }
        builder.apply(*change, document->accepted);
    }
    absl::StatusOr<configuration_ptr> built = builder.build();
    if (!built.ok())
    {
        return built.status();
    }
    current_.store(*built);
    voter_change_ = std::move(voters);
    since_ = now;
    log(log_level::info, subsystem::configuration, "applied version={}",
        (*built)->version());
    return absl::OkStatus();
}

} // namespace hickorygap
