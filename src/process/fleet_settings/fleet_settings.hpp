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
// programs; the commands `route` and `vote` read them. Keys of the file are
// named like the members, with their unit where they have one.
struct fleet_settings
{
    struct
    {
        std::string name;

        // IPv4 number of this machine; also gives the instance its id.
        std::string host;
        std::string failure_domain;
    } instance;

    // Where callers connect; routers only.
    numeric_address callers;

    // Answers GET /ready; routers only.
    numeric_address readiness;

    // Where operators and other tools call; voters only.
    numeric_address operators;

    struct
    {
        // TCP port for links between instances, the same on all of them.
        std::uint16_t port = 0;

        // Machines of voters; may be out of date.
        std::vector<std::string> seeds;

        // Rate of this machine's network link in each direction.
        double link_megabits_per_second = 1000;
    } peers;

    struct
    {
        // Serves GET /metrics; zero turns it off.
        std::uint16_t port = 0;
    } metrics;

    // Voters only.
    struct
    {
        std::string folder;

        // The fleet starts for the first time; seeds may found the group.
        bool bootstrap = false;

        // Disks that may be lost at the same time.
        std::uint32_t lost_disks = 0;
    } storage;

    // List of backend servers.
    struct
    {
        numeric_address address;

        // Calls that the list's server accepts from the whole fleet.
        double calls_per_second = 1;
    } backend_list;

    // Limit on repeated sends, for the whole fleet and each service.
    struct
    {
        double ratio = 0;
        double slack = 0;
        duration window = std::chrono::seconds{10};
    } retry;

    struct
    {
        // From the signal to the forced end of the process.
        duration limit = std::chrono::seconds{8};
    } shutdown;
};

// Id of the instance at an IPv4 number: the number itself. Zero for other
// text.
instance_id instance_at(std::string_view host);

// The inverse of instance_at.
std::string host_of(instance_id instance);

// Errors are of kind settings_invalid and name the key and the remedy.
absl::StatusOr<fleet_settings> parse_fleet_settings(std::string_view text);
absl::StatusOr<fleet_settings> load_fleet_settings(const std::string& path);

} // namespace hickorygap

#endif
