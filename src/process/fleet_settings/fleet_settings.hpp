#ifndef HICKORYGAP_PROCESS_FLEET_SETTINGS_FLEET_SETTINGS_HPP
#define HICKORYGAP_PROCESS_FLEET_SETTINGS_FLEET_SETTINGS_HPP

#include "common/address.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Settings of a process of a fleet whose routers and voters are separate
// processes, started by the commands `route` and `vote`. The keys of the
// settings file are named like the members here, with a suffix for the unit
// where they have one.
struct fleet_settings
{
    struct
    {
        std::string name;

        // IPv4 address of this machine, from which the instance's id is
        // derived.
        std::string host;
        std::string failure_domain;
    } instance;

    // Listening address for callers; routers only.
    numeric_address callers;

    // Listening address for GET /ready; routers only.
    numeric_address readiness;

    // Listening address for operators and their tools; voters only.
    numeric_address operators;

    struct
    {
        // TCP port for links between instances, the same on all instances.
        std::uint16_t port = 0;

        // IPv4 addresses of voters; may be out of date.
        std::vector<std::string> seeds;

        // Rate of this machine's network link in each direction.
        double link_megabits_per_second = 1000;
    } peers;

    struct
    {
        // TCP port of GET /metrics; zero disables it.
        std::uint16_t port = 0;
    } metrics;

    // Voters only.
    struct
    {
        std::string folder;

        // Whether the seeds may form a new group of voters, at the first start
        // of the fleet.
        bool bootstrap = false;

        // Number of disks that may be lost at the same time.
        std::uint32_t lost_disks = 0;

        // Whether the voters must bear the loss of a whole failure domain; see
        // routing_voter_options.
        bool survives_domain_loss = false;
    } storage;

    // Source of the list of backend servers.
    struct
    {
        numeric_address address;

        // Rate of calls that the list's server accepts from the whole fleet.
        double calls_per_second = 1;
    } backend_list;

    // Limit on retries, for the whole fleet and each service: in a window at
    // most ratio times the number of requests, plus slack.
    struct
    {
        double ratio = 0;
        double slack = 0;
        duration window = std::chrono::seconds{10};
    } retry;

    struct
    {
        // Whether requests that are turned away for lack of room are chosen by
        // the work that they need, beside their rank; see work_admission.
        bool by_work = false;

        // Whether requests that arrive while a router starts wait for its
        // configuration for a short time; see startup_queue.
        bool wait_at_start = false;
    } overload;

    // What the machine gives to this process; zero if it is not stated.
    struct
    {
        std::uint64_t memory_bytes = 0;
        std::uint64_t descriptors = 0;
    } machine;

    struct
    {
        // Time from the signal to the forced exit of the process.
        duration limit = std::chrono::seconds{8};
    } shutdown;
};

// Id of the instance at an IPv4 address: the address as a number. Zero for
// other text.
instance_id instance_at(std::string_view host);

// IPv4 address of an instance; the inverse of instance_at.
std::string host_of(instance_id instance);

// Errors: settings_invalid, with a message that names the key and the remedy.
absl::StatusOr<fleet_settings> parse_fleet_settings(std::string_view text);
absl::StatusOr<fleet_settings> load_fleet_settings(const std::string& path);

} // namespace hickorygap

#endif
