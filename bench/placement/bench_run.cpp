#include "bench_run.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <unordered_map>

namespace hickorygap::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step{milliseconds{1}};
constexpr duration report_interval{seconds{1}};
constexpr duration report_lag{milliseconds{500}};
constexpr duration skew_interval{milliseconds{100}};

// One cache event in ten is lost, at random.
constexpr std::uint64_t event_loss_interval = 10;

constexpr std::uint8_t max_attempts = 3;
constexpr duration caller_timeout{seconds{60}};

class trace_run
{
public:
    trace_run(const run_options& options, const fleet_factory& factory)
        : options_(options)
        , random_(options.seed)
    {
        for (const auto& [id, server] : options.topology.backend_servers)
        {
            engines_.emplace(
                id, engine_model{server.slots, options.cache_tokens});
            engine_up_[id] = true;
            engine_serving_[id] = true;
        }
        for (const cell& each_cell : options.topology.cells)
        {
            for (const backend_server_id server : each_cell.backend_servers)
            {
                cell_of_[server] = &each_cell;
            }
        }
        live_instances_.assign(options.instances, true);
        fleet_ = factory(options, engines_);
        result_.requests.resize(options.trace.size());
        if (options.churn)
        {
            schedule_churn();
        }
    }

    run_result run()
    {
        while (now_.since_start < options_.length)
        {
            now_ = now_ + step;
            run_scheduled_events();
            submit_arrivals();
            add_cpu_time_of([&] { fleet_->advance(now_); });
            take_decisions();
            end_jobs();
            report_loads();
            sample_skew();
        }
        result_.seconds =
            std::chrono::duration<double>(options_.length).count();
        result_.bytes_sent = fleet_->bytes_sent();
        result_.mean_load /= std::max<double>(1, samples_);
        result_.mean_skew /= std::max<double>(1, samples_);
        result_.urgent_slot_share =
            urgent_slot_seconds_ / (result_.seconds * total_slots());
        return std::move(result_);
    }

private:
    struct attempt_state
    {
        std::size_t index = 0;
        std::size_t instance = 0;
        std::uint8_t attempt = 1;
        std::vector<backend_server_id> excluded;
        placement_grant grant;
    };

    template <typename Call>
    void add_cpu_time_of(Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        call();
        result_.cpu_seconds += std::chrono::duration<double>(
                                   std::chrono::steady_clock::now() - begin)
                                   .count();
    }

    double total_slots() const
    {
        double slots = 0;
        for (const auto& [id, server] : options_.topology.backend_servers)
        {
            slots += server.slots;
        }
        return slots;
    }

    void schedule(duration when, std::function<void()> action)
    {
        scheduled_events_.emplace(time_point{when}, std::move(action));
    }

    duration random_duration(duration longest)
    {
        return duration{static_cast<std::int64_t>(random_below(
            random_, static_cast<std::uint64_t>(longest.count())))};
    }

    // Every 10 s, in turn: an engine crashes, an engine is falsely reported
    // down, an engine leaves by ticket and rejoins 15 s later, or an instance
    // is killed. Each instance learns of tickets and membership changes after a
    // random delay.
    void schedule_churn()
    {
        std::vector<backend_server_id> ids;
        for (const auto& [id, server] : options_.topology.backend_servers)
        {
            ids.push_back(id);
        }
        int round = 0;
        for (duration when{seconds{10}}; when < options_.length;
             when += seconds{10}, ++round)
        {
            const backend_server_id id = ids[random_below(random_, ids.size())];
            switch (round % 4)
            {
            case 0:
                schedule_engine_crash(when, id);
                break;
            case 1:
                schedule_false_down_reports(when, id);
                break;
            case 2:
                schedule_ticket(when, id, false);
                schedule_ticket(when + seconds{15}, id, true);
                break;
            default:
                schedule_instance_crash(when);
                break;
            }
        }
    }

    void schedule_engine_crash(duration when, backend_server_id id)
    {
        schedule(when, [this, id] { crash_engine(id); });
        schedule(
            when + seconds{1},
            [this, id] { fleet_->on_health(id, false, now_); });
        schedule(when + seconds{8}, [this, id] { engine_up_[id] = true; });
        schedule(
            when + seconds{9},
            [this, id] { fleet_->on_health(id, true, now_); });
    }

    // Health checks falsely report the engine down for 1 s, three times.
    void schedule_false_down_reports(duration when, backend_server_id id)
    {
        for (int flap = 0; flap < 3; ++flap)
        {
            schedule(
                when + seconds{2 * flap},
                [this, id] { fleet_->on_health(id, false, now_); });
            schedule(
                when + seconds{2 * flap + 1},
                [this, id] { fleet_->on_health(id, true, now_); });
        }
    }

    void schedule_ticket(duration when, backend_server_id id, bool serving)
    {
        schedule(when, [this, id, serving] { engine_serving_[id] = serving; });
        for (std::size_t instance = 0; instance < options_.instances;
             ++instance)
        {
            schedule(
                when + random_duration(seconds{4}),
                [this, instance, id, serving]
                { fleet_->set_serving(instance, id, serving, now_); });
        }
    }

    void schedule_instance_crash(duration when)
    {
        const std::size_t lost = random_below(random_, options_.instances);
        schedule(when, [this, lost] { kill_instance(lost); });
        schedule(
            when + seconds{8},
            [this, lost]
            {
                live_instances_[lost] = true;
                fleet_->restart(lost, now_);
                fleet_->set_members(lost, live_instances_, now_);
            });
        for (std::size_t instance = 0; instance < options_.instances;
             ++instance)
        {
            if (instance != lost)
            {
                const auto learn = [this, instance]
                { fleet_->set_members(instance, live_instances_, now_); };
                schedule(
                    when + seconds{1} + random_duration(seconds{2}), learn);
                schedule(
                    when + seconds{8} + random_duration(seconds{2}), learn);
            }
        }
    }

    void kill_instance(std::size_t instance)
    {
        live_instances_[instance] = false;
        fleet_->kill(instance);
        for (auto position = attempts_.begin(); position != attempts_.end();)
        {
            const auto current = position++;
            if (current->second.instance == instance)
            {
                // The connection to the caller breaks with the instance.
                result_.requests[current->second.index].outcome =
                    request_result::kind::failed;
                // Policies without messages can't notice the loss of the
                // instance and would count the request as running forever.
                fleet_->finish(
                    instance,
                    make_report(
                        current->second, wire::attempt_outcome::cancelled),
                    now_);
                attempts_.erase(current);
            }
        }
    }

    void crash_engine(backend_server_id id)
    {
        engine_up_[id] = false;
        for (const engine_job& job : engines_.at(id).fail())
        {
            fail_attempt(
                job.key, wire::attempt_outcome::backend_server_lost, id);
        }
    }

    void run_scheduled_events()
    {
        while (!scheduled_events_.empty() &&
               scheduled_events_.begin()->first <= now_)
        {
            const auto action = scheduled_events_.begin()->second;
            scheduled_events_.erase(scheduled_events_.begin());
            action();
        }
    }

    void submit_arrivals()
    {
        while (next_request_ < options_.trace.size() &&
               options_.trace[next_request_].arrival <= now_)
        {
            attempt_state state;
            state.index = next_request_++;
            do
            {
                state.instance = random_below(random_, options_.instances);
            } while (!live_instances_[state.instance]);
            result_.requests[state.index].context_tokens =
                options_.trace[state.index].context_tokens;
            submit(state);
        }
    }

    void submit(const attempt_state& state)
    {
        const trace_request& request = options_.trace[state.index];
        placement_query query;
        query.request = request.request;
        query.attempt = state.attempt;
        query.service = options_.topology.services.begin()->first;
        query.chat = request.chat;
        query.organisation = request.organisation;
        query.request_rank = request.request_rank;
        // The entry router knows the length of the prompt, which costs a tenth
        // per token, and assumes an answer of 100 tokens.
        query.expected_cost = request.prompt_tokens / 10 + 100;
        query.deadline = request.arrival + caller_timeout;
        query.waited = now_ - request.arrival;
        query.excluded = state.excluded;
        attempts_[{request.request, state.attempt}] = state;
        ++result_.decisions;
        add_cpu_time_of([&] { fleet_->submit(state.instance, query, now_); });
    }

    void take_decisions()
    {
        for (const fleet_decision& decided : fleet_->take_decisions())
        {
            if (const auto* grant =
                    std::get_if<placement_grant>(&decided.decision))
            {
                start(decided.instance, *grant);
                continue;
            }
            const auto& refusal = std::get<placement_refusal>(decided.decision);
            const auto position =
                attempts_.find({refusal.request, refusal.attempt});
            if (position != attempts_.end())
            {
                request_result& outcome =
                    result_.requests[position->second.index];
                outcome.outcome = request_result::kind::refused;
                outcome.refused_after =
                    now_ - options_.trace[position->second.index].arrival;
                attempts_.erase(position);
            }
        }
    }

    void start(std::size_t instance, const placement_grant& grant)
    {
        const request_key key{grant.request, grant.attempt};
        const auto position = attempts_.find(key);
        if (position == attempts_.end())
        {
            attempt_state unknown;
            unknown.attempt = grant.attempt;
            unknown.grant = grant;
            fleet_->finish(
                instance,
                make_report(unknown, wire::attempt_outcome::never_used), now_);
            return;
        }
        position->second.grant = grant;
        if (!engine_up_.at(grant.backend_server))
        {
            fail_attempt(
                key, wire::attempt_outcome::failed_before_start,
                grant.backend_server);
            return;
        }
        const trace_request& request = options_.trace[position->second.index];
        engine_job job;
        job.key = key;
        job.chat = request.chat;
        job.request_rank = request.request_rank;
        job.prompt_tokens = request.prompt_tokens;
        job.context_tokens = request.context_tokens;
        job.answer_tokens = request.answer_tokens;
        engines_.at(grant.backend_server).add(job, now_);
        check_bound(grant.backend_server);
    }

    void check_bound(backend_server_id server)
    {
        double total = 0;
        double live = 0;
        for (const backend_server_id other :
             cell_of_.at(server)->backend_servers)
        {
            if (engine_up_.at(other) && engine_serving_.at(other))
            {
                live += 1;
                total += load_of(other);
            }
        }
        const auto allowed = static_cast<std::uint32_t>(
            std::max(1.0, std::ceil(1.25 * total / std::max(1.0, live))));
        const auto load = static_cast<std::uint32_t>(load_of(server));
        ++result_.placements;
        if (load > allowed)
        {
            ++result_.over_bound;
            result_.max_over_bound =
                std::max(result_.max_over_bound, load - allowed);
        }
    }

    double load_of(backend_server_id server) const
    {
        const engine_model& engine = engines_.at(server);
        return engine.running() + engine.waiting();
    }

    attempt_report
    make_report(const attempt_state& state, wire::attempt_outcome outcome) const
    {
        attempt_report report;
        report.request = state.grant.request;
        report.attempt = state.attempt;
        report.granting_cell = state.grant.granting_cell;
        report.backend_server = state.grant.backend_server;
        report.outcome = outcome;
        return report;
    }

    void fail_attempt(
        const request_key& key, wire::attempt_outcome outcome,
        backend_server_id server)
    {
        const auto position = attempts_.find(key);
        if (position == attempts_.end())
        {
            return;
        }
        attempt_state state = position->second;
        attempts_.erase(position);
        add_cpu_time_of(
            [&] {
                fleet_->finish(
                    state.instance, make_report(state, outcome), now_);
            });
        if (state.attempt >= max_attempts)
        {
            result_.requests[state.index].outcome =
                request_result::kind::failed;
            return;
        }
        ++state.attempt;
        state.excluded.push_back(server);
        submit(state);
    }

    void end_jobs()
    {
        for (auto& [id, engine] : engines_)
        {
            if (!engine_up_[id])
            {
                continue;
            }
            for (const engine_job& job : engine.advance(now_))
            {
                end_job(job);
            }
            for (const chat_id chat : engine.take_evicted())
            {
                if (random_below(random_, event_loss_interval) != 0)
                {
                    const cache_event event{
                        cache_event_kind::evicted, chat, now_};
                    schedule(
                        now_.since_start + report_lag,
                        [this, event, server = id]
                        { fleet_->on_cache_event(server, event, now_); });
                }
            }
        }
    }

    void end_job(const engine_job& job)
    {
        if (job.request_rank == rank::urgent)
        {
            urgent_slot_seconds_ +=
                std::chrono::duration<double>(job.end - job.started).count();
        }
        const auto position = attempts_.find(job.key);
        if (position == attempts_.end())
        {
            return;
        }
        const attempt_state state = position->second;
        attempts_.erase(position);
        const time_point arrival = options_.trace[state.index].arrival;
        request_result& outcome = result_.requests[state.index];
        outcome.outcome = request_result::kind::served;
        outcome.wait = job.started - arrival;
        outcome.first_byte = job.first_byte - arrival;
        outcome.reused_tokens = job.reused_tokens;
        attempt_report report =
            make_report(state, wire::attempt_outcome::completed);
        report.actual_cost =
            (job.prompt_tokens - job.reused_tokens) / 10 + job.answer_tokens;
        report.first_byte = outcome.first_byte;
        report.total = job.end - arrival;
        add_cpu_time_of([&] { fleet_->finish(state.instance, report, now_); });
    }

    void report_loads()
    {
        if (now_ - last_report_ < report_interval)
        {
            return;
        }
        last_report_ = now_;
        for (const auto& [id, engine] : engines_)
        {
            if (!engine_up_[id])
            {
                continue;
            }
            const load_report report{
                engine.running(), engine.waiting(), engine.start_number(),
                now_};
            schedule(
                now_.since_start + report_lag, [this, report, server = id]
                { fleet_->on_load_report(server, report, now_); });
        }
    }

    void sample_skew()
    {
        if (now_ - last_sample_ < skew_interval)
        {
            return;
        }
        last_sample_ = now_;
        double total = 0;
        double most = 0;
        double live = 0;
        for (const auto& [id, engine] : engines_)
        {
            if (engine_up_[id] && engine_serving_[id])
            {
                live += 1;
                total += load_of(id);
                most = std::max(most, load_of(id));
            }
        }
        if (total > 0)
        {
            samples_ += 1;
            result_.mean_load += total / live;
            result_.mean_skew += most / (total / live);
        }
    }

    run_options options_;
    random_engine random_;
    time_point now_;
    std::map<backend_server_id, engine_model> engines_;
    std::map<backend_server_id, bool> engine_up_;
    std::map<backend_server_id, bool> engine_serving_;
    std::map<backend_server_id, const cell*> cell_of_;
    std::vector<bool> live_instances_;
    std::unique_ptr<router_fleet> fleet_;
    std::multimap<time_point, std::function<void()>> scheduled_events_;
    std::unordered_map<request_key, attempt_state, request_key_hash> attempts_;
    std::size_t next_request_ = 0;
    time_point last_report_;
    time_point last_sample_;
    double samples_ = 0;
    double urgent_slot_seconds_ = 0;
    run_result result_;
};

} // namespace

run_result run_trace(const run_options& options, const fleet_factory& factory)
{
    return trace_run{options, factory}.run();
}

} // namespace hickorygap::bench
