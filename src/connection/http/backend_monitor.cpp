#include "connection/http/backend_monitor.hpp"

#include "connection/http/backend_exchange.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

using Poco::JSON::Object;

std::uint32_t read_number(const Object& object, const char* name)
{
    return object.has(name) ? object.getValue<std::uint32_t>(name) : 0;
}

polled_load read_load(const Object& object)
{
    polled_load report;
    report.in_flight = read_number(object, "in_flight");
    report.queued = read_number(object, "queued");
    report.slots = read_number(object, "slots");
    report.age = std::chrono::milliseconds{read_number(object, "age_ms")};
    return report;
}

polled_cache_event read_event(const Object& object)
{
    polled_cache_event event;
    event.sequence = object.getValue<Poco::UInt64>("sequence");
    event.chat =
        Poco::NumberParser::parseHex64(object.getValue<std::string>("chat"));
    event.stored = object.getValue<std::string>("kind") == "stored";
    return event;
}

} // namespace

backend_monitor::backend_monitor(
    callback on_result, backend_monitor_options options)
    : on_result_(std::move(on_result))
    , options_(options)
    , thread_([this] { run(); })
{
}

backend_monitor::~backend_monitor()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    wakeup_.notify_all();
    thread_.join();
}

void backend_monitor::set_servers(std::vector<monitored_server> servers)
{
    const std::lock_guard lock{mutex_};
    servers_ = std::move(servers);
    wakeup_.notify_all();
}

bool backend_monitor::stopping()
{
    const std::lock_guard lock{mutex_};
    return stopping_;
}

void backend_monitor::run()
{
    std::unique_lock lock{mutex_};
    while (!stopping_)
    {
        const std::vector<monitored_server> servers = servers_;
        lock.unlock();
        std::erase_if(
            last_events_,
            [&](const auto& entry)
            {
                return std::none_of(
                    servers.begin(), servers.end(),
                    [&](const auto& server)
                    { return server.id == entry.first; });
            });
        for (const monitored_server& server : servers)
        {
            if (!stopping())
            {
                poll(server);
            }
        }
        lock.lock();
        wakeup_.wait_for(lock, options_.interval, [this] { return stopping_; });
    }
}

void backend_monitor::poll(const monitored_server& server)
{
    monitor_result result;
    result.backend_server = server.id;
    backend_exchange exchange{[this] { return stopping(); }};
    exchange.set_deadline(boot_now() + options_.timeout);
    backend_request outgoing;
    outgoing.path = "/load";
    std::string body;
    try
    {
        constexpr std::uint16_t ok = 200;
        if (exchange.connect(server.host, server.port, options_.timeout) &&
            exchange.send(outgoing) && exchange.response_head().status == ok &&
            exchange.read_body(body, options_.response_limit_bytes) ==
                backend_exchange::read_result::end)
        {
            Poco::JSON::Parser parser;
            result.load = read_load(*parser.parse(body).extract<Object::Ptr>());
            result.healthy = true;
        }
        if (result.healthy && server.is_engine)
        {
            poll_events(server, result);
        }
    }
    catch (const Poco::Exception&)
    {
        // An unparsable report counts as a missing one.
    }
    if (!stopping())
    {
        on_result_(result);
    }
}

void backend_monitor::poll_events(
    const monitored_server& server, monitor_result& result)
{
    std::uint64_t& last = last_events_[server.id];
    backend_exchange exchange{[this] { return stopping(); }};
    exchange.set_deadline(boot_now() + options_.timeout);
    backend_request outgoing;
    outgoing.path = fmt::format("/events?after={}", last);
    std::string body;
    if (!exchange.connect(server.host, server.port, options_.timeout) ||
        !exchange.send(outgoing) ||
        exchange.read_body(body, options_.response_limit_bytes) !=
            backend_exchange::read_result::end)
    {
        return;
    }
    Poco::JSON::Parser parser;
    const auto root = parser.parse(body).extract<Object::Ptr>();
    if (root->getValue<Poco::UInt64>("last") < last)
    {
        // The server has restarted: its cache is empty and its event numbers
        // start again.
        last = 0;
        result.events_missing = true;
        return;
    }
    const auto events = root->getArray("events");
    for (std::size_t i = 0; !events.isNull() && i < events->size(); ++i)
    {
        const polled_cache_event event =
            read_event(*events->getObject(static_cast<unsigned>(i)));
        result.events_missing |= event.sequence != last + 1;
        last = event.sequence;
        result.events.push_back(event);
    }
}

} // namespace hickorygap
