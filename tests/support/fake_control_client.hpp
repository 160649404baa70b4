#ifndef HICKORYGAP_TESTS_SUPPORT_FAKE_CONTROL_CLIENT_HPP
#define HICKORYGAP_TESTS_SUPPORT_FAKE_CONTROL_CLIENT_HPP

#include "common/error.hpp"
#include "request/attempt/control_client.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace hickorygap::testing
{

// In-memory control client. Places each request on the first backend server of
// its service, in the preferred order, that is not excluded. Stores idempotent
// calls, and records queries, reports and outcomes.
class fake_control_client : public control_client
{
public:
    void set_configuration(configuration_ptr in_force)
    {
        const std::lock_guard lock{mutex_};
        configuration_ = std::move(in_force);
    }

    void prefer(std::vector<backend_server_id> order)
    {
        const std::lock_guard lock{mutex_};
        preferred_order_ = std::move(order);
    }

    void set_readiness(readiness state)
    {
        const std::lock_guard lock{mutex_};
        readiness_ = state;
    }

    // While true, place() blocks until its query is cancelled or this is reset.
    void hold_queries(bool hold)
    {
        const std::lock_guard lock{mutex_};
        hold_queries_ = hold;
    }

    void refuse_with(std::optional<placement_refusal> refusal)
    {
        const std::lock_guard lock{mutex_};
        refusal_ = refusal;
    }

    void fail_calls_with(error_kind kind)
    {
        const std::lock_guard lock{mutex_};
        call_error_ = kind;
    }

    std::vector<attempt_report> reports()
    {
        const std::lock_guard lock{mutex_};
        return reports_;
    }

    std::vector<placement_query> queries()
    {
        const std::lock_guard lock{mutex_};
        return queries_;
    }

    std::size_t granted()
    {
        const std::lock_guard lock{mutex_};
        return granted_count_;
    }

    std::size_t withdrawn()
    {
        const std::lock_guard lock{mutex_};
        return withdrawn_count_;
    }

    // Outcomes in the order of their commit; an empty optional is an unknown
    // outcome.
    std::vector<std::optional<recorded_response>> outcomes()
    {
        const std::lock_guard lock{mutex_};
        return outcomes_;
    }

    configuration_ptr current_configuration() const override
    {
        const std::lock_guard lock{mutex_};
        return configuration_;
    }

    readiness current_readiness() const override
    {
        const std::lock_guard lock{mutex_};
        return readiness_;
    }

    placement_decision
    place(const placement_query& query, const cancel_check& cancelled) override
    {
        std::unique_lock lock{mutex_};
        queries_.push_back(query);
        while (hold_queries_)
        {
            changed_.wait_for(lock, std::chrono::milliseconds{5});
            lock.unlock();
            const bool was_cancelled = cancelled();
            lock.lock();
            if (was_cancelled)
            {
                ++withdrawn_count_;
                return refused(query, wire::refusal_reason::withdrawn);
            }
        }
        if (refusal_)
        {
            return *refusal_;
        }
        for (const backend_server_id id : preferred_order_)
        {
            if (configuration_->find_backend_server(id)->service ==
                    query.service &&
                std::find(query.excluded.begin(), query.excluded.end(), id) ==
                    query.excluded.end())
            {
                ++granted_count_;
                return placement_grant{
                    query.request, query.attempt, 1, id, false, {}};
            }
        }
        return refused(query, wire::refusal_reason::no_backend_server);
    }

    void finish(const attempt_report& report) override
    {
        const std::lock_guard lock{mutex_};
        reports_.push_back(report);
    }

    absl::StatusOr<call_permission>
    begin_call(const idempotent_call& call, time_point) override
    {
        const std::lock_guard lock{mutex_};
        if (call_error_)
        {
            return make_error(*call_error_, "set by the test");
        }
        const auto [entry, inserted] = calls_.try_emplace(call.key);
        if (inserted)
        {
            entry->second.request_digest = call.request_digest;
            return call_permission{true, {}};
        }
        const stored_call& known = entry->second;
        if (known.request_digest != call.request_digest)
        {
            return make_error(
                error_kind::idempotency_key_reused, "another request");
        }
        if (!known.ended)
        {
            return make_error(error_kind::call_running, "running");
        }
        if (!known.response)
        {
            return make_error(error_kind::outcome_unknown, "unknown");
        }
        return call_permission{false, *known.response};
    }

    absl::Status end_call(
        const idempotent_call& call, const recorded_response* response) override
    {
        const std::lock_guard lock{mutex_};
        stored_call& known = calls_[call.key];
        known.ended = true;
        if (response != nullptr)
        {
            known.response = *response;
        }
        outcomes_.push_back(known.response);
        return absl::OkStatus();
    }

    duration quarantined_for(request_fingerprint) const override
    {
        return duration::zero();
    }

private:
    struct stored_call
    {
        digest request_digest{};
        bool ended = false;
        std::optional<recorded_response> response;
    };

    static placement_refusal
    refused(const placement_query& query, wire::refusal_reason reason)
    {
        return {query.request, query.attempt, reason, duration::zero()};
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    configuration_ptr configuration_ = std::make_shared<configuration>();
    readiness readiness_ = readiness::ready;
    bool hold_queries_ = false;
    std::optional<placement_refusal> refusal_;
    std::optional<error_kind> call_error_;
    std::vector<backend_server_id> preferred_order_;
    std::vector<attempt_report> reports_;
    std::vector<placement_query> queries_;
    std::size_t granted_count_ = 0;
    std::size_t withdrawn_count_ = 0;
    std::map<std::string, stored_call> calls_;
    std::vector<std::optional<recorded_response>> outcomes_;
};

} // namespace hickorygap::testing

#endif
