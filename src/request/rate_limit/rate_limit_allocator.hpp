#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_RATE_LIMIT_ALLOCATOR_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_RATE_LIMIT_ALLOCATOR_HPP

#include "common/time.hpp"
#include "request/dispatch/backend_table.hpp"
#include "request/rate_limit/backend_limit.hpp"
#include "request/rate_limit/rank_admission.hpp"
#include "request/rate_limit/rejection_pacer.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>

namespace hickorygap
{

// Distributes the limits of backend servers among the routers. Runs on the
// leader.
//
// Each server has a token bucket that fills at the rate of its limit, and
// routers ask for a permit for each request. A static share for each router
// would not do: callers are spread unevenly, and with more routers than
// requests a second the first request of each router would already exceed the
// limit.
//
// When a server no longer names its limit, the permitted rate grows for
// some seconds before the limit is dropped: otherwise all routers would return
// to the server at the same moment, even after one response that lacks the
// limit by mistake. A server can have two limits at once, of which it names the
// smaller one. When it names none after that, the larger one may still hold, so
// the limits end one after the other.
//
// A brittle server has a bucket too, which fills at the rate of its
// rejection_pacer.
//
// Each query names the limits that its router knows of the servers concerned,
// so that a leader that has missed a limit learns it before it permits
// anything.
//
// Has no clock of its own; all times are passed in.
class rate_limit_allocator
{
public:
    // term: of the leader.
    explicit rate_limit_allocator(std::uint64_t term);

    // Takes the limits that the router reports, and permits one request to the
    // first of the candidates that accepts one now, or to another server if the
    // request may go to any. The version changes with the limits.
    permit_answer answer(const permit_query& query, time_point now);

    // Drops the limits that have ended, and those of servers that have not been
    // in the list for some time. An entry that can't be read is missing from
    // the list although its server still runs.
    void keep_listed(std::span<const listed_server> listed, time_point now);

    // Requests per second that a cold server of a service accepts, by service.
    // A router that asks for a server without a limit takes it for cold.
    void set_cold_rates(std::map<std::uint64_t, double> rates);

    // Takes the sum of the routers' load reports, in ascending order of the
    // servers. Those without a load are missing.
    void on_loads(std::span<const backend_load> loads, time_point now);

    // Changes since a version, or all limits if the version is not one of this
    // leader.
    limit_changes changes_since(std::uint64_t version) const;

    std::uint64_t version() const
    {
        return version_;
    }

    // Servers with a limit.
    std::size_t size() const
    {
        return buckets_.size();
    }

private:
    struct bucket
    {
        double requests_per_second = 0;

        // A larger limit that the server named before this one, and whose end
        // no response has shown. Zero for none.
        double earlier_limit = 0;

        // Only for a brittle server.
        std::optional<rejection_pacer> pacer;

        // Tokens as of filled_at.
        double tokens = 0;
        time_point filled_at;

        // Entry of the server in the last list; all zero before the first.
        listed_server listed;

        // When the server was last in the list, or named a limit.
        time_point listed_at;

        // When a response first lacked the limit.
        std::optional<time_point> ended_at;

        // Version of the last change of the limit.
        std::uint64_t changed_in = 0;
    };
    using bucket_map = std::map<backend_server_id, bucket>;

    struct cold_bucket
    {
        double tokens = 0;
        time_point filled_at;
    };

    struct removed_limit
    {
        backend_server_id backend = 0;
        std::uint64_t removed_in = 0;
    };

    static double permitted_rate_at(const bucket& item, time_point at);
    static void fill(bucket& item, time_point now);
    void drop_ended(time_point now);
    bool has_same_term(std::uint64_t version) const;
    std::uint64_t last_change_of(backend_server_id backend) const;
    void observe(const backend_limit& limit, time_point now);
    static bool
    update(bucket& item, const backend_limit& limit, time_point now);
    void learn_from(const permit_query& query, time_point now);
    void remove(bucket_map::iterator item);
    bool competes(const permit_query& query, time_point now);
    std::optional<backend_server_id>
    take(const permit_query& query, time_point now);
    bool
    take_cold(backend_server_id backend, std::uint64_t service, time_point now);
    bucket* find_other(const permit_request& request, time_point now);

    bucket_map buckets_;

    std::map<std::uint64_t, double> cold_rates_;
    std::map<backend_server_id, cold_bucket> cold_buckets_;

    // By service.
    std::map<std::uint64_t, rank_admission> admissions_;

    // The last limits that ended, the oldest first.
    std::deque<removed_limit> removed_;
    std::uint64_t version_ = 0;
};

} // namespace hickorygap

#endif
