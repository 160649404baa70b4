#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_LOAD_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_LOAD_EXCHANGE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "request/dispatch/backend_table.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace hickorygap
{

// Interval at which routers report their loads; longer where load_interval
// says so.
inline constexpr duration shortest_load_interval =
    std::chrono::milliseconds{200};

// Minimum interval at which an instance may send a message of this size to its
// peers, so that such messages take at most a fixed share of its network link.
duration broadcast_interval(
    std::size_t peers, std::size_t message_bytes,
    double link_megabits_per_second);

// Interval at which an instance sends loads to its peers. With many peers it is
// longer than shortest_load_interval, so that load messages take at most a
// fixed share of the instance's network link.
duration load_interval(
    std::size_t peers, std::size_t message_bytes,
    double link_megabits_per_second);

// Encodes and decodes load messages. A message refers to a server by its
// position in the list of backend servers, the decoded form by its number. A
// message that refers to another version of the list can't be decoded and is
// dropped; peers send the list before the loads that refer to it.
class load_codec
{
public:
    // The list must outlive the codec.
    explicit load_codec(const backend_list_replica& list);

    // Nothing before the first version of the list.
    std::optional<wire::load_report_msg>
    encode(std::span<const backend_load> loads);
    std::optional<wire::load_summary_msg>
    encode(std::span<const fleet_backend_load> conditions);

    // Nothing when the message refers to another version of the list or is
    // damaged.
    std::optional<std::vector<backend_load>>
    decode(const wire::load_report_msg& report);
    std::optional<std::vector<fleet_backend_load>>
    decode(const wire::load_summary_msg& summary);

private:
    std::span<const std::uint32_t> server_numbers();
    template <typename Message, typename Row, std::size_t FieldCount>
    std::optional<Message> encode_rows(
        std::span<const Row> rows,
        const std::array<std::uint16_t Row::*, FieldCount>& fields);
    template <typename Row, typename Message, std::size_t FieldCount>
    std::optional<std::vector<Row>> decode_rows(
        const Message& message,
        const std::array<std::uint16_t Row::*, FieldCount>& fields);

    const backend_list_replica& list_;

    // Numbers of the servers by their position in this version of the list.
    backend_list_version server_numbers_version_;
    std::vector<std::uint32_t> server_numbers_;
};

// Sums up the load reports of routers.
class load_aggregator
{
public:
    void
    set(instance_id router, std::vector<backend_load> loads, time_point now);

    // Drops the requests in flight of routers that are not among these: their
    // links have ended, and so have their requests.
    void keep_only(const std::set<instance_id>& routers);

    // Sums by backend server, in ascending order: current requests in flight,
    // and outcomes since the last call. A router whose link stands but that
    // does not report counts with its last report for 5 s.
    std::vector<backend_load> take_sum(time_point now);

private:
    struct report
    {
        std::vector<backend_load> loads;
        time_point received_at;
    };

    std::map<instance_id, report> reports_;

    // Outcomes that take_sum has not returned yet.
    std::map<std::uint32_t, backend_load> outcomes_;
};

} // namespace hickorygap

#endif
