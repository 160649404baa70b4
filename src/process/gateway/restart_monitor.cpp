#include "process/gateway/restart_monitor.hpp"

#include "common/logging.hpp"
#include "request/rate_limit/observed_limit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{500};

// The list shows a shutdown within this time after the server has announced it.
// A check before that would ask a server that leaves.
constexpr duration list_delay = std::chrono::seconds{2};

// Time between two checks of a server. A restart takes some seconds.
constexpr duration check_interval = std::chrono::seconds{2};

constexpr duration check_timeout = std::chrono::seconds{1};

} // namespace

// One health check. Ends with the head of the response, its connection, or a
// time-out.
class restart_monitor::health_check final : public response_observer
{
public:
    health_check(
        restart_monitor& owner, backend_server_id backend,
        backend_connection& connection)
        : owner_{owner}
        , backend_{backend}
        , connection_{&connection}
    {
        timer_ = owner_.loop_.after(
            check_timeout, [this] { owner_.end_check(backend_); });
    }

    ~health_check() override
    {
        finish();
    }

    void finish()
    {
        if (!std::exchange(is_finished_, true))
        {
            owner_.loop_.cancel(timer_);
            if (connection_ != nullptr)
            {
                owner_.pool_.abandon(*connection_);
            }
        }
    }

    void on_response() override
    {
        switch (connection_->reader().current())
        {
        case response_reader::state::head_incomplete:
            return;
        case response_reader::state::broken:
            owner_.end_check(backend_);
            return;
        default:
            owner_.on_response(backend_, connection_->reader().head());
            owner_.end_check(backend_);
            return;
        }
    }

    void on_connection_lost(connection_end /*end*/) override
    {
        connection_ = nullptr;
        owner_.end_check(backend_);
    }

private:
    restart_monitor& owner_;
    backend_server_id backend_;
    backend_connection* connection_;
    timer_id timer_ = 0;
    bool is_finished_ = false;
};

restart_monitor::restart_monitor(
    event_loop& loop, backend_pool& pool, permit_client& permits,
    const request_dialect& dialect)
    : loop_{loop}
    , pool_{pool}
    , permits_{permits}
    , dialect_{dialect}
{
    tick();
}

restart_monitor::~restart_monitor()
{
    loop_.cancel(timer_);
}

void restart_monitor::set_configuration(
    std::shared_ptr<const routing_configuration> configuration)
{
    configuration_ = std::move(configuration);
}

void restart_monitor::tick()
{
    timer_ = loop_.after(tick_interval, [this] { tick(); });
    check_servers();
}

void restart_monitor::check_servers()
{
    const auto announced = pool_.table().announced_leaving();
    std::erase_if(
        suspects_,
        [&](const auto& item)
        {
            return std::ranges::find(
                       announced, item.first, &backend_record::id) ==
                   announced.end();
        });
    for (const backend_record* record : announced)
    {
        const auto [item, is_first] = suspects_.try_emplace(record->id);
        suspect& checked = item->second;
        if (is_first)
        {
            checked.next_check =
                loop_.now() +
                (record->may_have_restarted ? duration{0} : list_delay);
        }
        // Checks of all routers together could crash a cold server.
        if (checked.check == nullptr && !record->listed.cold &&
            loop_.now() >= checked.next_check)
        {
            start_check(*record, checked);
        }
    }
}

void restart_monitor::start_check(
    const backend_record& record, suspect& checked)
{
    checked.next_check = loop_.now() + check_interval;
    const auto path = health_path_of(record.listed.service);
    if (!path)
    {
        return;
    }
    if (path->empty())
    {
        // Only the list can tell.
        if (record.may_have_restarted)
        {
            pool_.table().on_restarted(record.id);
        }
        return;
    }
    backend_connection* connection =
        pool_.acquire(record, connection_choice::established_now, 0);
    if (connection == nullptr)
    {
        return;
    }
    checked.check =
        std::make_unique<health_check>(*this, record.id, *connection);
    connection->send(
        fmt::format(
            "GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", *path,
            format_address(
                record.listed.address.host, record.listed.address.port)),
        "GET", *checked.check);
}

void restart_monitor::on_response(
    backend_server_id backend, const Poco::Net::HTTPResponse& head)
{
    const backend_record* record = pool_.table().find(backend);
    const backend_response_info response = dialect_.decode_response(head);
    const bool is_in_service =
        head.getStatus() == Poco::Net::HTTPResponse::HTTP_OK &&
        !response.leaving && record != nullptr &&
        response.server == record->listed.id;
    if (!is_in_service)
    {
        return;
    }
    log(log_level::info, subsystem::routing,
        "backend_restarted backend={} starts={}", record->listed.id,
        record->start + 1);
    pool_.table().on_restarted(backend);
    if (const auto limit = observed_limit(backend, response))
    {
        permits_.on_response(*limit);
    }
}

// The check is destroyed after the current handlers have returned.
void restart_monitor::end_check(backend_server_id backend)
{
    const auto found = suspects_.find(backend);
    if (found != suspects_.end() && found->second.check)
    {
        found->second.check->finish();
        loop_.destroy_later(std::move(found->second.check));
    }
}

std::optional<std::string_view>
restart_monitor::health_path_of(std::string_view service) const
{
    if (!configuration_)
    {
        return std::nullopt;
    }
    const auto services = configuration_->services();
    const auto found =
        std::ranges::find(services, service, &routed_service::name);
    return found == services.end()
               ? std::nullopt
               : std::optional<std::string_view>{found->health_path};
}

} // namespace hickorygap
