#ifndef HICKORYGAP_PROCESS_GATEWAY_OPEN_QUERIES_HPP
#define HICKORYGAP_PROCESS_GATEWAY_OPEN_QUERIES_HPP

#include "connection/event/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace hickorygap
{

// Queries of a router to voters that have no result yet. Each ends once: with
// an identifier as its result, or with nullopt.
class open_queries
{
public:
    // The loop must outlive the queries.
    explicit open_queries(event_loop& loop);
    ~open_queries();
    open_queries(const open_queries&) = delete;
    open_queries& operator=(const open_queries&) = delete;

    using result_function = std::function<void(std::optional<std::uint64_t>)>;

    // Returns the number of the new query, which is not zero.
    std::uint32_t add(result_function on_result);

    // Sets what happens if the query is still open after this time. May be
    // called again when that has happened.
    void set_timeout(
        std::uint32_t number, duration time, std::function<void()> on_timeout);

    // Whether the timeout of an open query has passed without being handled
    // yet: the process was paused.
    bool is_overdue(std::uint32_t number) const;

    // Ends an open query with this result. No effect on other numbers.
    void finish(std::uint32_t number, std::optional<std::uint64_t> result);

    // Ends a query without calling its function. No effect on other numbers.
    void cancel(std::uint32_t number);

private:
    struct query
    {
        result_function on_result;
        timer_id timer = 0;
        std::optional<time_point> deadline;
    };

    event_loop& loop_;
    std::map<std::uint32_t, query> queries_;
    std::uint32_t last_number_ = 0;
};

} // namespace hickorygap

#endif
