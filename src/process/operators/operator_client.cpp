#include "process/operators/operator_client.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"

namespace hickorygap
{

ticket_receipt make_ticket_receipt(
    const ticket& filed, std::string_view recorded_text, unix_millis accepted,
    bool duplicate)
{
    ticket_receipt receipt;
    receipt.number = filed.document.number;
    receipt.accepted = accepted;
    receipt.content_digest = filed.document.content_digest;
    receipt.duplicate = duplicate;
    const auto recorded = parse_ticket(recorded_text);
    if (!recorded.ok())
    {
        // The ticket is accepted regardless; only the comparison of the
        // comments is left out.
        log(log_level::error, subsystem::configuration,
            "recorded_ticket_unreadable number={} error=\"{}\"", receipt.number,
            message_of(recorded.status()));
    }
    else if (recorded->comment != filed.comment)
    {
        receipt.recorded_comment = recorded->comment;
    }
    return receipt;
}

} // namespace hickorygap
