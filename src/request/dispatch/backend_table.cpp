#include "request/dispatch/backend_table.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorygap
{

namespace
{

// Weight of a new sample in the exponential moving averages: about the last ten
// samples count.
constexpr double moving_average_weight = 0.1;

// Consecutive failures after which a server is avoided. Healthy servers also
// have single failures.
constexpr std::uint32_t failures_before_avoidance = 2;

// Duration of the first avoidance; it doubles with each further failure. A
// crashed server restarts within a few seconds.
constexpr duration initial_avoidance = std::chrono::milliseconds{500};
constexpr duration max_avoidance = std::chrono::seconds{4};

// How long a server is avoided whose address another server has taken over. The
// backend list lags by about a second.
constexpr duration replaced_address_avoidance = std::chrono::seconds{10};

// Half-life of the failure share. Faults last a few seconds.
constexpr double failure_half_life_s = 2.0;

// From this failure share on, a server counts as failing rather than as
// overloaded.
constexpr double min_failing_share = 0.5;

// Half-life of the load that a server reported itself.
constexpr double report_half_life_s = 1.0;

// Age up to which the leader's load counts are used. They arrive several times
// a second.
constexpr duration fleet_load_expiry = std::chrono::milliseconds{1500};

// Progress on the requests of a whole service is expected more often than this;
// a silent one is shown by this number of its servers.
constexpr duration max_service_silence = std::chrono::milliseconds{400};
constexpr std::size_t servers_to_check = 2;

void update_average(double& value, double sample)
{
    value += moving_average_weight * (sample - value);
}

// Failure share of this router's own requests, decayed to `now`.
double own_failure_share(const backend_record& record, time_point now)
{
    const double age =
        std::chrono::duration<double>(now - record.failure_share_at).count();
    return record.failure_share * std::exp2(-age / failure_half_life_s);
}

// Whether an entry of the list belongs to a later start of the server than the
// one before. A server that leaves stays in service only as another start; one
// that was evacuated goes on.
bool shows_new_start(const listed_backend& before, const listed_backend& now)
{
    const bool returns = before.leaving && !before.evacuated && !now.leaving;
    return returns || before.version != now.version ||
           before.address != now.address;
}

} // namespace

std::string_view dispatch_outcome_name(dispatch_outcome outcome)
{
    switch (outcome)
    {
    case dispatch_outcome::answered:
        return "answered";
    case dispatch_outcome::rejected:
        return "rejected";
    case dispatch_outcome::server_error:
        return "server_error";
    case dispatch_outcome::broken:
        return "broken";
    case dispatch_outcome::silent:
        return "silent";
    case dispatch_outcome::withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

void backend_table::replace(std::span<const listed_backend> list)
{
    listed_.clear();
    for (const listed_backend& entry : list)
    {
        const backend_server_id id = hash_name(entry.id);
        listed_.insert(id);
        auto& record = records_[id];
        if (!record)
        {
            record = std::make_unique<backend_record>();
            record->id = id;
        }
        else if (shows_new_start(record->listed, entry))
        {
            begin_start(*record);
            record->may_have_restarted = true;
        }
        record->listed = entry;
        record->software_version =
            software_version_of(entry.service, entry.version);
    }
    std::vector<backend_server_id> missing;
    for (const auto& [id, record] : records_)
    {
        if (!listed_.contains(id))
        {
            record->listed.leaving = true;
            missing.push_back(id);
        }
    }
    for (const backend_server_id id : missing)
    {
        drop_if_unlisted(id);
    }
}

// Forgets what was learned of an earlier start. Requests in flight are kept
// until they end, and an announced shutdown until on_restarted: the list may
// show an older state.
void backend_table::begin_start(backend_record& record)
{
    ++record.start;
    record.report.reset();
    record.first_byte_ms = 0;
    record.failure_share = 0;
    record.fleet_failure_share = 0;
    record.consecutive_failures = 0;
    record.avoided_until = {};
    record.declines_until = {};
}

void backend_table::on_restarted(backend_server_id id)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        begin_start(*found->second);
        found->second->announced_leaving = false;
        found->second->may_have_restarted = false;
    }
}

std::vector<const backend_record*> backend_table::announced_leaving() const
{
    std::vector<const backend_record*> result;
    for (const auto& [id, record] : records_)
    {
        if (record->announced_leaving && !record->listed.leaving)
        {
            result.push_back(record.get());
        }
    }
    return result;
}

void backend_table::drop_if_unlisted(backend_server_id id)
{
    const auto found = records_.find(id);
    if (found != records_.end() && !listed_.contains(id) &&
        found->second->in_flight == 0)
    {
        records_.erase(found);
    }
}

const backend_record* backend_table::find(backend_server_id id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : found->second.get();
}

std::vector<const backend_record*>
backend_table::members(std::string_view service) const
{
    std::vector<const backend_record*> result;
    for (const auto& [id, record] : records_)
    {
        if (record->listed.service == service)
        {
            result.push_back(record.get());
        }
    }
    // Iteration order of the hash map differs between processes.
    std::ranges::sort(result, {}, &backend_record::id);
    return result;
}

std::vector<backend_server_id>
backend_table::servers_of(service_id service) const
{
    std::vector<backend_server_id> result;
    for (const auto& [id, record] : records_)
    {
        if (hash_name(record->listed.service) == service)
        {
            result.push_back(id);
        }
    }
    return result;
}

std::map<service_id, std::vector<backend_server_id>>
backend_table::silent_services(time_point now) const
{
    struct activity
    {
        std::vector<backend_server_id> servers;
        bool has_progress = false;
    };
    std::map<service_id, activity> services;
    for (const auto& [id, record] : records_)
    {
        if (record->in_flight > 0)
        {
            activity& service = services[hash_name(record->listed.service)];
            service.servers.push_back(id);
            service.has_progress =
                service.has_progress ||
                time_without_progress(*record, now) < max_service_silence;
        }
    }
    std::map<service_id, std::vector<backend_server_id>> silent;
    for (auto& [service, found] : services)
    {
        if (!found.has_progress && found.servers.size() >= servers_to_check)
        {
            found.servers.resize(servers_to_check);
            silent.emplace(service, std::move(found.servers));
        }
    }
    return silent;
}

void backend_table::on_sent(backend_server_id id, time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return;
    }
    backend_record& record = *found->second;
    ++record.in_flight;
    if (!record.unanswered_since)
    {
        record.unanswered_since = now;
    }
}

void backend_table::on_progress(backend_server_id id, time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second->unanswered_since = now;
        ++found->second->unreported.progress;
    }
}

void backend_table::on_first_byte(backend_server_id id, duration after)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return;
    }
    constexpr double microseconds_per_ms = 1000.0;
    const double sample =
        static_cast<double>(after.count()) / microseconds_per_ms;
    double& value = found->second->first_byte_ms;
    if (value == 0)
    {
        value = sample;
    }
    else
    {
        update_average(value, sample);
    }
}

void backend_table::on_load(
    backend_server_id id, const reported_load& load, time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second->report = load;
        found->second->reported_at = now;
        found->second->in_flight_at_report = found->second->in_flight;
    }
}

std::vector<backend_load> backend_table::report_loads()
{
    reported_loads_.clear();
    std::vector<backend_load> loads;
    for (const auto& [id, record] : records_)
    {
        backend_load load = std::exchange(record->unreported, {});
        load.in_flight = static_cast<std::uint16_t>(record->in_flight);
        if (load != backend_load{})
        {
            load.backend = short_backend_id(id);
            loads.push_back(load);
            reported_loads_[load.backend] = record->in_flight;
        }
    }
    return loads;
}

void backend_table::on_fleet_load(
    std::span<const fleet_backend_load> fleet, time_point now)
{
    absl::flat_hash_map<std::uint32_t, const fleet_backend_load*> conditions;
    for (const fleet_backend_load& condition : fleet)
    {
        conditions[condition.backend] = &condition;
    }
    for (auto& [id, record] : records_)
    {
        const auto found = conditions.find(short_backend_id(id));
        const fleet_backend_load condition =
            found == conditions.end() ? fleet_backend_load{} : *found->second;
        const auto own = reported_loads_.find(short_backend_id(id));
        const std::uint32_t fleet_in_flight = condition.in_flight;
        record->other_routers_in_flight =
            fleet_in_flight - std::min(
                                  fleet_in_flight, own == reported_loads_.end()
                                                       ? 0
                                                       : own->second);
        record->fleet_load_at = now;
        constexpr double percent = 100;
        record->fleet_failure_share = condition.failure_percent / percent;
    }
}

void backend_table::count_failure(backend_record& record, time_point now)
{
    ++record.consecutive_failures;
    if (record.consecutive_failures < failures_before_avoidance)
    {
        return;
    }
    const auto doublings =
        std::min(record.consecutive_failures - failures_before_avoidance, 3U);
    record.avoided_until =
        now + std::min(initial_avoidance * (1U << doublings), max_avoidance);
}

void backend_table::count_outcome(
    backend_record& record, bool failed, time_point now)
{
    ++record.unreported.outcomes;
    record.unreported.failures += failed ? 1 : 0;
    record.failure_share = own_failure_share(record, now);
    record.failure_share_at = now;
    update_average(record.failure_share, failed ? 1 : 0);
}

void backend_table::on_leaving(backend_server_id id, std::uint32_t start)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second->announced_leaving = true;
        found->second->may_have_restarted = start != found->second->start;
    }
}

void backend_table::on_declined(backend_server_id id, time_point until)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second->declines_until =
            std::max(found->second->declines_until, until);
    }
}

void backend_table::on_end(
    backend_server_id id, dispatch_outcome outcome, time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return;
    }
    backend_record& record = *found->second;
    record.in_flight -= std::min(record.in_flight, 1U);
    if (record.in_flight == 0)
    {
        record.unanswered_since.reset();
    }
    switch (outcome)
    {
    case dispatch_outcome::answered:
        count_outcome(record, false, now);
        record.consecutive_failures = 0;
        break;
    case dispatch_outcome::server_error:
        // The application responded, so the server process itself is up.
        count_outcome(record, true, now);
        record.consecutive_failures = 0;
        break;
    case dispatch_outcome::broken:
    case dispatch_outcome::silent:
        count_outcome(record, true, now);
        count_failure(record, now);
        break;
    case dispatch_outcome::rejected:
    case dispatch_outcome::withdrawn:
        break;
    }
    drop_if_unlisted(id);
}

void backend_table::on_unreachable(backend_server_id id, time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second->unreachable_at = now;
        ++found->second->unreported.outcomes;
        ++found->second->unreported.failures;
        // A refused connection means that nothing listens at the address, which
        // doesn't happen with a healthy server; so a single one is enough for
        // avoidance.
        found->second->consecutive_failures = std::max(
            found->second->consecutive_failures, failures_before_avoidance);
        count_failure(*found->second, now);
    }
}

void backend_table::on_path_blocked(backend_server_id id, time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return;
    }
    backend_record& record = *found->second;
    record.consecutive_failures = 0;
    record.avoided_until = now;
    record.failure_share = 0;
    if (record.unanswered_since)
    {
        record.unanswered_since = now;
    }
}

void backend_table::on_replaced(backend_server_id id, time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second->avoided_until = now + replaced_address_avoidance;
    }
}

double estimated_load(const backend_record& record, time_point now)
{
    const auto own = static_cast<double>(record.in_flight);
    if (record.fleet_load_at &&
        now - *record.fleet_load_at <= fleet_load_expiry)
    {
        return own + record.other_routers_in_flight;
    }
    if (!record.report)
    {
        return own;
    }
    const double others = std::max(
        0.0, static_cast<double>(record.report->running) +
                 static_cast<double>(record.report->waiting) -
                 static_cast<double>(record.in_flight_at_report));
    const double age =
        std::chrono::duration<double>(now - record.reported_at).count();
    return own + others * std::exp2(-age / report_half_life_s);
}

double recent_failure_share(const backend_record& record, time_point now)
{
    const bool is_fresh = record.fleet_load_at &&
                          now - *record.fleet_load_at <= fleet_load_expiry;
    return std::max(
        own_failure_share(record, now),
        is_fresh ? record.fleet_failure_share : 0.0);
}

bool is_queueing(const backend_record& record, time_point now)
{
    return estimated_load(record, now) > record.listed.slots &&
           recent_failure_share(record, now) < min_failing_share;
}

bool is_in_service(const backend_record& record)
{
    return !record.listed.leaving && !record.announced_leaving;
}

std::optional<duration> time_until_accepted(
    std::span<const backend_record* const> members, time_point now)
{
    std::optional<duration> shortest;
    for (const backend_record* record : members)
    {
        if (!is_in_service(*record))
        {
            continue;
        }
        if (record->declines_until <= now)
        {
            return std::nullopt;
        }
        const duration left = record->declines_until - now;
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

duration time_without_progress(const backend_record& record, time_point now)
{
    return record.unanswered_since ? now - *record.unanswered_since
                                   : duration{0};
}

} // namespace hickorygap
