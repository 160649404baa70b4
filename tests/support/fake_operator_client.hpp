#ifndef HICKORYGAP_TESTS_SUPPORT_FAKE_OPERATOR_CLIENT_HPP
#define HICKORYGAP_TESTS_SUPPORT_FAKE_OPERATOR_CLIENT_HPP

#include "common/error.hpp"
#include "process/operators/operator_client.hpp"
#include "version/configuration/configuration_builder.hpp"

#include <vector>

namespace hickorygap
{

// Operator client of a fleet with one instance; keeps accepted tickets in
// memory.
class fake_operator_client : public operator_client
{
public:
    // While this is an error, every call fails with it.
    absl::Status failure;
    std::vector<accepted_ticket> accepted;
    in_force_report report;
    instance_status state;
    decision_list records;
    decision_query last_query;
    burn_report burned;

    absl::StatusOr<ticket_receipt> file_ticket(std::string_view text) override
    {
        if (!failure.ok())
        {
            return failure;
        }
        const auto parsed = parse_ticket(text);
        if (!parsed.ok())
        {
            return parsed.status();
        }
        const ticket_document& document = parsed->document;
        for (const accepted_ticket& record : accepted)
        {
            if (record.document.number != document.number)
            {
                continue;
            }
            if (record.document.content_digest != document.content_digest)
            {
                return make_ticket_conflict(
                    document.number, accepted.back().document.number + 1);
            }
            return make_ticket_receipt(
                *parsed, record.document.text, record.accepted, true);
        }
        const unix_millis time = document.number * 1000;
        const digest previous =
            accepted.empty() ? digest{} : accepted.back().chain;
        accepted.push_back(
            {document, time, ticket_chain(previous, document, time)});
        return make_ticket_receipt(*parsed, document.text, time, false);
    }

    absl::StatusOr<std::vector<accepted_ticket>> tickets() override
    {
        return or_failure(accepted);
    }

    absl::StatusOr<std::optional<accepted_ticket>>
    ticket(configuration_version number) override
    {
        std::optional<accepted_ticket> found;
        for (const accepted_ticket& record : accepted)
        {
            if (record.document.number == number)
            {
                found = record;
            }
        }
        return or_failure(found);
    }

    absl::StatusOr<in_force_report> in_force() override
    {
        return or_failure(report);
    }

    absl::StatusOr<instance_status> status() override
    {
        return or_failure(state);
    }

    absl::StatusOr<decision_list>
    decisions(const decision_query& query) override
    {
        last_query = query;
        return or_failure(records);
    }

    absl::StatusOr<burn_report> burn() override
    {
        return or_failure(burned);
    }

private:
    template <typename Value>
    absl::StatusOr<Value> or_failure(const Value& value) const
    {
        if (!failure.ok())
        {
            return failure;
        }
        return value;
    }
};

} // namespace hickorygap

#endif
