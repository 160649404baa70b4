#ifndef HICKORYGAP_PROCESS_SETTINGS_SETTINGS_HPP
#define HICKORYGAP_PROCESS_SETTINGS_SETTINGS_HPP

#include "common/address.hpp"
#include "common/hashing.hpp"
#include "common/ids.hpp"
#include "common/logging.hpp"
#include "common/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Seed of the gossip membership: an instance that is contacted first for the
// list of members.
struct peer_seed
{
    instance_id id = 0;
    numeric_address address;

    friend bool operator==(const peer_seed&, const peer_seed&) = default;
};

// Paths of PEM files; TLS is off when both are empty.
struct tls_settings
{
    std::string certificate_file;
    std::string key_file;
};

// Settings of one process. Members have the names of the keys in the settings
// file without their unit; settings_table.cpp lists units, ranges and
// descriptions. The constructor sets the defaults of that table.
struct settings
{
    settings();

    struct
    {
        instance_id id;
        std::string name;
        std::string failure_domain;
    } instance;

    struct
    {
        std::string host;
        std::uint16_t port;
        std::uint32_t threads;
        struct
        {
            std::uint64_t header_bytes;
            std::uint64_t body_bytes;
            duration header_timeout;
            duration body_timeout;
            duration idle_timeout;
            std::uint32_t organisation_streams;
        } limits;
        tls_settings tls;
    } callers;

    struct
    {
        std::string host;
        std::uint16_t port;
        digest token_digest;
        tls_settings tls;
    } operators;

    struct
    {
        std::string host;
        std::uint16_t port;
        std::string fleet_key_file;
        std::vector<peer_seed> seeds;
    } peers;

    std::vector<instance_id> voters;
    bool bootstrap;
    std::string data_folder;

    struct
    {
        duration balancer_lag;
        duration drain_limit;
    } shutdown;

    duration freshness;

    struct
    {
        log_level level;
    } log;

    struct
    {
        std::uint64_t bytes_per_second;
        std::uint64_t buffer_bytes;
        std::uint64_t file_bytes;
        duration batch_delay;
    } decision_record;

    struct
    {
        std::uint64_t directory_entries;
    } placement;

    struct
    {
        duration interval;
    } monitor;

    struct
    {
        duration window;
    } idempotency;

    struct
    {
        double error_budget;
    } slo;

    struct
    {
        std::string blocked_peers_file;
    } test;
};

// Parses and validates the text of a settings file. Errors are of kind
// settings_invalid; the message names the key and the remedy.
absl::StatusOr<settings> parse_settings(std::string_view text);

// Reads a settings file and parses it. Errors are of kind settings_invalid; the
// message names the file.
absl::StatusOr<settings> load_settings(const std::string& path);

} // namespace hickorygap

#endif
