#include "process/commands/fleet_commands.hpp"

#include "common/buffered_log_sink.hpp"
#include "common/status_text.hpp"
#include "process/fleet_process/client_limits.hpp"
#include "process/fleet_process/fleet_node.hpp"
#include "process/fleet_process/process_signals.hpp"

#include <malloc.h>
#include <unistd.h>

#include <concepts>
#include <memory>
#include <ostream>

namespace hickorygap
{

namespace
{

// Interval at which buffered log lines are written, so that a burst of lines
// costs one system call.
constexpr duration log_flush_interval = std::chrono::milliseconds{200};

// Limits of a metrics scrape request: 4096 bytes of header and no body.
constexpr request_limits metrics_request_limits{4096, 0};

// Buffers from this size on are returned to the system when they are freed. The
// allocator would raise this by itself, and keep what a crowd of clients
// filled.
constexpr int returned_buffer_bytes = 256 * 1024;

// Runs a router or a voter process: event loop, log sink, signals, settings and
// metrics endpoint.
class fleet_node_runner
{
public:
    fleet_node_runner(const command_options& options, command_streams streams)
        : options_{options}
        , streams_{streams}
        , sink_{STDOUT_FILENO}
    {
        ::mallopt(M_MMAP_THRESHOLD, returned_buffer_bytes);
    }

    ~fleet_node_runner()
    {
        set_log_sink(nullptr);
    }

    // Runs a node of type Node until it stops the event loop. Returns
    // exit_code::refused when it can't start or fails.
    template <std::derived_from<fleet_node> Node, typename Dialects>
    exit_code run(std::string_view role, const Dialects& dialects)
    {
        const auto settings = load_fleet_settings(options_.settings_file);
        if (!settings.ok())
        {
            streams_.error << "hickorygap: " << settings.status().message()
                           << "\n";
            return exit_code::refused;
        }
        set_log_sink(&sink_);
        if (const absl::Status status = loop_.open(); !status.ok())
        {
            return log_failure("not_started", status);
        }
        Node node{loop_, *settings, dialects};
        process_signals signals{
            loop_, [&node] { node.shut_down(); },
            [this, &node] { reload(node); }};
        for (const absl::Status& status :
             {signals.open(), node.open(), open_metrics(*settings, node)})
        {
            if (!status.ok())
            {
                return log_failure("not_started", status);
            }
        }
        log(log_level::info, subsystem::process,
            "started role={} name={} host={} failure_domain={} bootstrap={}",
            role, settings->instance.name, settings->instance.host,
            settings->instance.failure_domain, settings->storage.bootstrap);
        flush_log_periodically();
        loop_.run();
        if (const absl::Status status = node.failure(); !status.ok())
        {
            return log_failure("ended", status);
        }
        log(log_level::info, subsystem::process, "stopped role={} name={}",
            role, settings->instance.name);
        sink_.flush();
        return exit_code::done;
    }

private:
    exit_code log_failure(std::string_view event, const absl::Status& status)
    {
        log(log_level::error, subsystem::process, "{} reason=\"{}\"", event,
            message_of(status));
        sink_.flush();
        return exit_code::refused;
    }

    void reload(fleet_node& node)
    {
        const auto settings = load_fleet_settings(options_.settings_file);
        if (!settings.ok())
        {
            log(log_level::error, subsystem::process,
                "settings_not_reloaded reason=\"{}\"",
                message_of(settings.status()));
            return;
        }
        log(log_level::info, subsystem::process, "settings_reloaded seeds={}",
            settings->peers.seeds.size());
        node.reload(*settings);
    }

    absl::Status open_metrics(const fleet_settings& settings, fleet_node& node)
    {
        if (settings.metrics.port == 0)
        {
            return absl::OkStatus();
        }
        metrics_ = std::make_unique<http_endpoint>(
            loop_, metrics_request_limits,
            [&node](
                const received_request& /*request*/,
                const http_responder& respond)
            {
                http_response answer;
                answer.content_type = "text/plain; version=0.0.4";
                answer.body = node.metrics_text();
                respond(answer);
            },
            endpoint_limits{client_limits_of(settings).endpoint_connections});
        return metrics_->open({settings.instance.host, settings.metrics.port});
    }

    void flush_log_periodically()
    {
        sink_.flush();
        loop_.after(log_flush_interval, [this] { flush_log_periodically(); });
    }

    const command_options& options_;
    command_streams streams_;
    buffered_log_sink sink_;
    event_loop loop_;
    std::unique_ptr<http_endpoint> metrics_;
};

bool check_required_options(
    const command_options& options, command_streams streams,
    std::string_view command)
{
    if (options.settings_file.empty() || options.dialects == nullptr)
    {
        streams.error << "hickorygap: " << command
                      << " needs --settings F with the settings file of this "
                         "instance\n";
        return false;
    }
    return true;
}

} // namespace

exit_code run_router(const command_options& options, command_streams streams)
{
    if (!check_required_options(options, streams, "route"))
    {
        return exit_code::usage;
    }
    return fleet_node_runner{options, streams}.run<gateway>(
        "router", options.dialects->router);
}

exit_code run_voter(const command_options& options, command_streams streams)
{
    if (!check_required_options(options, streams, "vote"))
    {
        return exit_code::usage;
    }
    return fleet_node_runner{options, streams}.run<voter_node>(
        "voter", options.dialects->voter);
}

} // namespace hickorygap
