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

// What an engine table is told about a backend server.
struct engine_description
{
    backend_server_id id = 0;
    std::uint32_t slots = 1;

    // True when no new work may be placed on it.
    bool leaving = false;
};

// The backend servers of one cell with the work in flight on them, and the
// load bound: in flight on an engine <= max(1, ceil(bound * (total + 1) /
// engines)) and <= slots. Total and engines count only engines that take new
// work.
class engine_table
{
public:
    explicit engine_table(double load_bound);

    void set_load_bound(double load_bound);

    // Replaces the set of backend servers. Work in flight on servers that are
    // no longer listed is forgotten once it is released. Returns the indices
    // that no longer stand for a server.
    std::vector<engine_index>
    set_servers(std::span<const engine_description> servers);

    // Index of a listed server; no_engine when it is not listed.
    engine_index find(backend_server_id server) const;
    backend_server_id id_of(engine_index engine) const;
    std::uint32_t load(engine_index engine) const;
    std::uint32_t in_flight(engine_index engine) const;

    // Listed, serving and up: may get work now or once it has room.
    bool is_live(engine_index engine) const;

    // Whether the bound, the slots and reservations allow one more request.
    bool has_room(engine_index engine, time_point now) const;

    // Most requests that the engine may have in flight after one more is
    // placed in the cell.
    std::uint32_t limit(engine_index engine) const;

    // Engines with room, without those excluded.
    std::vector<engine_index> with_room(
        std::span<const backend_server_id> excluded, time_point now) const;

    // Engine with the highest rendezvous score for the key, out of the
    // candidates; no_engine when there are none.
    engine_index by_rendezvous(
        std::span<const engine_index> candidates, std::uint64_t key) const;

    // Candidate with the least load; the rendezvous score for the key breaks
    // ties.
    engine_index least_loaded(
        std::span<const engine_index> candidates, std::uint64_t key) const;

    void add(engine_index engine);
    void remove(engine_index engine);

    // A reserved engine gets no further work.
    void set_reserved(engine_index engine, bool reserved);

    // Health as the monitor sees it.
    void set_up(engine_index engine, bool up);

    // No new work until the time, or until the engine reports its load or is
    // seen up again.
    void suspend(engine_index engine, time_point until);

    // Corrects the load by work that this table did not place. Returns true
    // when the report shows that the engine restarted with an empty cache.
    bool on_load_report(
        engine_index engine, const load_report& report, time_point now);

    // Drops corrections from reports that are too old.
    void expire_reports(time_point now);

    // Share of the slots that may be used, below 1 while the work placed by
    // an earlier owner is not fully known.
    void set_usable_share(double share);

    std::uint32_t live_slots() const;
    std::uint32_t live_count() const;
    std::uint32_t total_load() const;

    // Listed engines, for records.
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

        // Most in flight since the last report, and before that report.
        std::uint32_t peak = 0;
        std::uint32_t previous_peak = 0;

        // Work that others placed, as far as reports show.
        std::uint32_t foreign = 0;
        time_point reported;
        std::uint64_t start_number = 0;
    };

    // Totals over the live engines that are not reserved; kept up to date
    // because they are needed for each decision.
    void update_totals();
    bool counts(const engine_state& engine) const;

    double load_bound_;
    double usable_share_ = 1.0;
    std::vector<engine_state> engines_;
    std::uint32_t live_count_ = 0;
    std::uint32_t live_slots_ = 0;
    std::uint32_t total_load_ = 0;
};

} // namespace hickorygap

#endif
