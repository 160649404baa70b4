#ifndef HICKORYGAP_REQUEST_PLACEMENT_ENGINE_TABLE_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_ENGINE_TABLE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/placement/chat_directory.hpp"
#include "request/placement/placement_policy.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// Settings of one backend server in an engine table.
struct engine_description
{
    backend_server_id id = 0;
    std::uint32_t slots = 1;

    // True when the server is being drained and gets no new requests.
    bool leaving = false;
};

// The engines, that is the backend servers, of one cell with their requests in
// flight, and the load bound: the load of an engine after a placement is at
// most max(1, ceil(load_bound * (total load + 1) / engines)) and at most its
// slots. Total load and number of engines include only engines that accept new
// requests.
class engine_table
{
public:
    explicit engine_table(double load_bound);

    void set_load_bound(double load_bound);

    // Replaces the set of backend servers. Requests in flight on servers that
    // are no longer listed are counted until they are released. Returns the
    // indices whose servers were removed.
    std::vector<engine_index>
    set_servers(std::span<const engine_description> servers);

    // Index of a listed server; no_engine when it is not listed.
    engine_index find(backend_server_id server) const;
    backend_server_id id_of(engine_index engine) const;
    std::uint32_t load(engine_index engine) const;
    std::uint32_t in_flight(engine_index engine) const;

    // Whether the engine is listed, not leaving and up, even if it has no free
    // capacity now.
    bool is_live(engine_index engine) const;

    // Whether load bound, slots, reservation and suspension allow one more
    // request now.
    bool has_capacity(engine_index engine, time_point now) const;

    // Maximum load of the engine after one more request is placed in the cell.
    std::uint32_t limit(engine_index engine) const;

    // Engines with capacity for one more request, without the excluded servers.
    std::vector<engine_index> with_capacity(
        std::span<const backend_server_id> excluded, time_point now) const;

    // Candidate with the highest rendezvous score for the key; no_engine when
    // there are no candidates.
    engine_index by_rendezvous(
        std::span<const engine_index> candidates, std::uint64_t key) const;

    // Candidate with the lowest load; ties are broken by the rendezvous score
    // for the key. no_engine when there are no candidates.
    engine_index least_loaded(
        std::span<const engine_index> candidates, std::uint64_t key) const;

    void add(engine_index engine);
    void remove(engine_index engine);

    // A reserved engine gets no further requests.
    void set_reserved(engine_index engine, bool reserved);

    // Sets the result of health checks; ends a suspension.
    void set_up(engine_index engine, bool up);

    // Places no new requests on the engine until the given time, or until it
    // reports its load or a health check finds it up.
    void suspend(engine_index engine, time_point until);

    // Adds load that was not placed through this table, as far as the report
    // shows it. Returns true when the report shows that the engine restarted
    // with an empty cache.
    bool on_load_report(
        engine_index engine, const load_report& report, time_point now);

    // Drops the external load of engines whose last report is too old.
    void expire_reports(time_point now);

    // Share of the slots that may be used. Below 1 while grants of an earlier
    // owner are not fully known, to avoid overload.
    void set_usable_share(double share);

    std::uint32_t live_slots() const;
    std::uint32_t live_count() const;
    std::uint32_t total_load() const;

    // Indices of all listed engines, also of those that are down.
    std::vector<engine_index> listed() const;

private:
    struct engine_state
    {
        engine_description description;
        bool listed = false;
        bool up = true;
        bool reserved = false;
        time_point suspended_until;
        std::uint32_t in_flight = 0;

        // Maximum in flight since the last report, and in the report period
        // before.
        std::uint32_t peak = 0;
        std::uint32_t previous_peak = 0;

        // Requests placed by others, as far as reports show.
        std::uint32_t external_load = 0;
        time_point reported;
        std::uint64_t start_number = 0;
    };

    // Recomputes the totals over the engines that accept new requests. Cached
    // because each placement decision needs them.
    void update_totals();
    bool accepts_requests(const engine_state& engine) const;

    double load_bound_;
    double usable_share_ = 1.0;
    std::vector<engine_state> engines_;
    std::uint32_t live_count_ = 0;
    std::uint32_t live_slots_ = 0;
    std::uint32_t total_load_ = 0;
};

} // namespace hickorygap

#endif
