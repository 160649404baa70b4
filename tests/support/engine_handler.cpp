#include "support/engine_handler.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <poll.h>

#include <cstdlib>
#include <sstream>
#include <thread>

namespace hickorygap::testing
{

namespace
{

using Poco::JSON::Object;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

Object::Ptr parse_object(const std::string& text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

bool peer_closed(HTTPServerRequest& request)
{
    auto& socket =
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    pollfd state{socket.impl()->sockfd(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

void close_connection(HTTPServerRequest& request)
{
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
        .socket()
        .shutdown();
}

std::uint32_t rank_number(const std::string& name)
{
    return name == "urgent" ? 0U : name == "background" ? 2U : 1U;
}

// Releases the acquired engine slot when it goes out of scope.
class slot_guard
{
public:
    slot_guard(engine_model& engine, std::uint32_t rank)
        : engine_(engine)
        , acquired_(engine.acquire_slot(rank))
    {
    }

    ~slot_guard()
    {
        if (acquired_)
        {
            engine_.release_slot();
        }
    }

    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

    bool acquired() const
    {
        return acquired_;
    }

private:
    engine_model& engine_;
    bool acquired_;
};

class completion
{
public:
    completion(
        engine_model& engine, HTTPServerRequest& request,
        HTTPServerResponse& response)
        : engine_(engine)
        , request_(request)
        , response_(response)
        , body_(read_all(request))
    {
    }

    void run()
    {
        const engine_options& options = engine_.options();
        response_.set("X-Attempt", request_.get("X-Attempt", ""));
        const slot_guard held_slot{
            engine_, rank_number(request_.get("X-Rank", ""))};
        if (!held_slot.acquired())
        {
            send_not_run(response_, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
            return;
        }
        if (!options.crash_marker.empty() &&
            body_.find(options.crash_marker) != std::string::npos)
        {
            std::_Exit(EXIT_FAILURE);
        }
        if (!engine_.use_cache(request_.get("X-Chat-Id", "")))
        {
            constexpr std::size_t bytes_per_token = 4;
            std::this_thread::sleep_for(
                options.prompt_token_time * (body_.size() / bytes_per_token));
        }
        const auto parsed = parse_object(body_);
        tokens_ = parsed->optValue("max_tokens", options.tokens);
        if (parsed->optValue("stream", false))
        {
            stream();
        }
        else
        {
            send_response();
        }
    }

private:
    // False when the client has closed the connection.
    bool generate_token()
    {
        std::this_thread::sleep_for(engine_.current_token_time());
        if (peer_closed(request_))
        {
            engine_.count_cancelled();
            return false;
        }
        return true;
    }

    void stream()
    {
        std::uint32_t first = 0;
        if (engine_.options().resumes && request_.has("X-Resume-From"))
        {
            first = Poco::NumberParser::parseUnsigned(
                request_.get("X-Resume-From"));
            response_.set("X-Resume-From", std::to_string(first));
        }
        response_.setContentType("text/event-stream");
        response_.setChunkedTransferEncoding(true);
        std::ostream& out = response_.send();
        const std::uint32_t break_after = engine_.options().break_after;
        for (std::uint32_t i = first; i < tokens_; ++i)
        {
            if (break_after != 0 && i == break_after &&
                engine_.claim_stream_break())
            {
                close_connection(request_);
                return;
            }
            if (!generate_token())
            {
                return;
            }
            out << engine_event(body_, i) << std::flush;
        }
        out << "data: [DONE]\n\n" << std::flush;
    }

    void send_response()
    {
        std::string text;
        for (std::uint32_t i = 0; i < tokens_; ++i)
        {
            if (!generate_token())
            {
                return;
            }
            text += engine_token(body_, i);
        }
        Object message;
        message.set("content", text);
        Object choice;
        choice.set("message", message);
        Poco::JSON::Array choices;
        choices.add(choice);
        Object root;
        root.set("choices", choices);
        send_json(response_, root);
    }

    engine_model& engine_;
    HTTPServerRequest& request_;
    HTTPServerResponse& response_;
    const std::string body_;
    std::uint32_t tokens_ = 0;
};

void send_load(engine_model& engine, HTTPServerResponse& response)
{
    const auto [running, waiting] = engine.reported_load();
    Object load;
    load.set("in_flight", running);
    load.set("queued", waiting);
    load.set("slots", engine.options().slots);
    load.set(
        "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                      engine.options().load_lag)
                      .count());
    send_json(response, load);
}

void send_events(
    engine_model& engine, const Poco::URI& uri, HTTPServerResponse& response)
{
    std::uint64_t after = 0;
    for (const auto& [name, value] : uri.getQueryParameters())
    {
        if (name == "after")
        {
            after = Poco::NumberParser::parseUnsigned64(value);
        }
    }
    Poco::JSON::Array events;
    for (const auto& each : engine.events_after(after))
    {
        Object event;
        event.set("sequence", each.sequence);
        event.set("kind", each.stored ? "stored" : "evicted");
        event.set("chat", each.chat);
        events.add(event);
    }
    Object root;
    root.set("last", engine.last_event());
    root.set("events", events);
    send_json(response, root);
}

void accept_order(
    engine_model& engine, HTTPServerRequest& request,
    HTTPServerResponse& response)
{
    const std::string text = read_all(request);
    const auto order = parse_object(text);
    const engine_model::fence number{
        order->getValue<Poco::UInt64>("term"),
        order->getValue<Poco::UInt64>("ticket")};
    const bool accepted = engine.accept_order(number, text);
    Object answer;
    answer.set("taken", accepted);
    if (!accepted)
    {
        response.setStatusAndReason(HTTPResponse::HTTP_CONFLICT);
    }
    send_json(response, answer);
}

void send_stats(engine_model& engine, HTTPServerResponse& response)
{
    const auto counts = engine.counts();
    Object hits;
    for (const auto& [chat, count] : engine.hits_by_chat())
    {
        hits.set(chat, count);
    }
    Object root;
    root.set("requests", counts.requests);
    root.set("cache_hits", counts.cache_hits);
    root.set("cancelled", counts.cancelled);
    root.set("refused", counts.refused);
    root.set("max_running", counts.max_running);
    root.set("hits_by_chat", hits);
    send_json(response, root);
}

} // namespace

stand_in_function make_engine_handler(engine_model& engine)
{
    return [&engine](HTTPServerRequest& request, HTTPServerResponse& response)
    {
        const Poco::URI uri{request.getURI()};
        const std::string& path = uri.getPath();
        if (path == "/v1/chat/completions")
        {
            completion{engine, request, response}.run();
        }
        else if (path == "/load")
        {
            send_load(engine, response);
        }
        else if (path == "/events")
        {
            send_events(engine, uri, response);
        }
        else if (path == "/orders" && request.getMethod() == "POST")
        {
            accept_order(engine, request, response);
        }
        else if (path == "/orders")
        {
            const std::string text = engine.last_order();
            response.sendBuffer(text.data(), text.size());
        }
        else if (path == "/stats")
        {
            send_stats(engine, response);
        }
        else
        {
            response.setStatusAndReason(HTTPResponse::HTTP_NOT_FOUND);
            response.send();
        }
    };
}

} // namespace hickorygap::testing
