#include "process/voter_node/operator_service.hpp"

#include "common/json.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "connection/h1/message_framing.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPResponse;

// Timeout of a filing or read; its outcome is then unknown to the caller.
constexpr duration call_timeout = std::chrono::seconds{3};

// Limit of the request line and header fields of an operator's call.
constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;

constexpr std::size_t max_domain_bytes = 128;

bool is_domain_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

http_response
error_answer(HTTPResponse::HTTPStatus status, std::string_view text)
{
    http_response answer;
    answer.status = status;
    answer.body = fmt::format("{{\"error\":{}}}", json_quote(text));
    if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
    {
        answer.fields.emplace_back(std::string{retry_after_field}, "0.3");
    }
    return answer;
}

http_response unavailable(std::string_view text)
{
    return error_answer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, text);
}

http_response accepted(configuration_version version)
{
    http_response answer;
    answer.body = fmt::format("{{\"version\":{}}}", version);
    return answer;
}

} // namespace

operator_service::operator_service(
    event_loop& loop, const fleet_settings& settings,
    const configuration_format& configurations, const operator_dialect& dialect,
    metrics_registry& metrics, std::function<void()> on_change)
    : loop_{loop}
    , settings_{settings}
    , configurations_{configurations}
    , dialect_{dialect}
    , metrics_{metrics}
    , on_change_{std::move(on_change)}
    , limits_{client_limits_of(settings)}
    , buffers_{limits_.buffer_bytes}
    , endpoint_{
          loop,
          {max_head_bytes, max_configuration_document_bytes},
          [this](received_request request, const http_responder& respond)
          { serve(std::move(request), respond); },
          {limits_.endpoint_connections, &buffers_}}
{
}

absl::Status operator_service::open(routing_voter& voter)
{
    voter_ = &voter;
    return endpoint_.open(settings_.operators);
}

void operator_service::close()
{
    endpoint_.close();
}

void operator_service::finish_calls()
{
    finish_filings();
    finish_reads();
}

void operator_service::serve(
    received_request request, const http_responder& respond)
{
    switch (dialect_.action_of(*request.head))
    {
    case operator_action::file_configuration:
        file(request, respond);
        return;
    case operator_action::read_configuration:
        read(respond);
        return;
    case operator_action::evacuate:
        evacuate(request, true, respond);
        return;
    case operator_action::end_evacuation:
        evacuate(request, false, respond);
        return;
    case operator_action::unknown:
        respond(error_answer(
            HTTPResponse::HTTP_NOT_FOUND,
            "no call of this name; check method and path"));
        return;
    }
}

// Redirects the caller to the leader, or refuses the call when no leader is
// known. Returns false without an answer when this voter is the leader.
bool operator_service::redirect(
    const received_request& request, const http_responder& respond) const
{
    if (voter_->raft().is_leader())
    {
        return false;
    }
    const instance_id leader = voter_->raft().leader();
    if (leader == 0 || leader == instance_at(settings_.instance.host))
    {
        respond(unavailable("no leader is known now; try again"));
        return true;
    }
    http_response answer;
    answer.status = HTTPResponse::HTTP_TEMPORARY_REDIRECT;
    answer.fields.emplace_back(
        "Location", fmt::format(
                        "http://{}:{}{}", host_of(leader),
                        settings_.operators.port, request.head->getURI()));
    respond(answer);
    return true;
}

void operator_service::file(
    const received_request& request, const http_responder& respond)
{
    const auto decoded = configurations_.decode(request.body);
    if (!decoded.ok())
    {
        log(log_level::info, subsystem::configuration,
            "configuration_refused bytes={} reason=\"{}\"", request.body.size(),
            message_of(decoded.status()));
        respond(error_answer(
            HTTPResponse::HTTP_BAD_REQUEST, message_of(decoded.status())));
        return;
    }
    const configuration_version version = (*decoded)->version();
    if (version == 0)
    {
        respond(error_answer(
            HTTPResponse::HTTP_BAD_REQUEST,
            "version 0 stands for no configuration; use a higher one"));
        return;
    }
    if (version <= voter_->current().version)
    {
        // The first document committed under a version is final, so this needs
        // no confirmation by a quorum.
        respond(accepted(version));
        return;
    }
    if (redirect(request, respond))
    {
        return;
    }
    const auto number = voter_->file({version, request.body}, loop_.now());
    if (!number.ok())
    {
        log(log_level::info, subsystem::configuration,
            "configuration_postponed version={} reason=\"{}\"", version,
            message_of(number.status()));
        respond(unavailable(message_of(number.status())));
        return;
    }
    open_filings_[*number] = {respond, version, loop_.now()};
    on_change_();
}

http_response operator_service::evacuation_accepted(const std::string& domain)
{
    http_response answer;
    answer.body = fmt::format("{{\"failure_domain\":{}}}", json_quote(domain));
    return answer;
}

// An order that is in force already gets its acknowledgement again once it has
// been committed again, because an earlier one to the contrary may still be on
// its way.
void operator_service::evacuate(
    const received_request& request, bool active, const http_responder& respond)
{
    const std::string domain = dialect_.failure_domain_of(*request.head);
    if (domain.size() > max_domain_bytes ||
        !std::ranges::all_of(domain, is_domain_character))
    {
        respond(error_answer(
            HTTPResponse::HTTP_BAD_REQUEST,
            "the name of the failure domain is too long, or has characters "
            "other than letters, digits, '-', '_' and '.'"));
        return;
    }
    if (redirect(request, respond))
    {
        return;
    }
    const auto number = voter_->file_evacuation(domain, active, loop_.now());
    if (!number.ok())
    {
        respond(unavailable(message_of(number.status())));
        return;
    }
    open_filings_[*number] = {respond, 0, loop_.now(), domain};
    on_change_();
}

void operator_service::read(const http_responder& respond)
{
    const auto number = voter_->start_read(loop_.now());
    if (!number.ok())
    {
        respond(unavailable(message_of(number.status())));
        return;
    }
    open_reads_[*number] = {respond, 0, loop_.now()};
    on_change_();
}

void operator_service::count_call(const std::string& call, bool confirmed)
{
    metrics_
        .find_counter(
            "operator_calls", "Calls of operators that a majority decided.",
            {{"call", call}, {"confirmed", confirmed ? "yes" : "no"}})
        .add();
}

void operator_service::finish_filings()
{
    for (const store_outcome& outcome : voter_->take_filings())
    {
        auto call = open_filings_.extract(outcome.number);
        if (call.empty())
        {
            continue;
        }
        const std::string& domain = call.mapped().failure_domain;
        if (!domain.empty())
        {
            count_call("evacuate", outcome.confirmed);
            log(log_level::info, subsystem::configuration,
                "evacuation_filed failure_domain={} confirmed={}", domain,
                outcome.confirmed);
            call.mapped().respond(
                outcome.confirmed
                    ? evacuation_accepted(domain)
                    : unavailable("leadership changed; send it again"));
            continue;
        }
        count_call("file", outcome.confirmed);
        log(log_level::info, subsystem::configuration,
            "configuration_filed version={} confirmed={} took_ms={}",
            call.mapped().version, outcome.confirmed,
            (loop_.now() - call.mapped().since) / std::chrono::milliseconds{1});
        call.mapped().respond(
            outcome.confirmed
                ? accepted(call.mapped().version)
                : unavailable("leadership changed; file it again unchanged"));
    }
}

void operator_service::finish_reads()
{
    for (const store_outcome& outcome : voter_->take_read_outcomes())
    {
        auto call = open_reads_.extract(outcome.number);
        if (call.empty())
        {
            continue;
        }
        count_call("read", outcome.confirmed);
        log(log_level::info, subsystem::configuration,
            "configuration_read version={} bytes={} confirmed={} took_ms={}",
            voter_->current().version, voter_->current().document.size(),
            outcome.confirmed,
            (loop_.now() - call.mapped().since) / std::chrono::milliseconds{1});
        if (outcome.confirmed)
        {
            respond_with_configuration(call.mapped().respond);
        }
        else
        {
            call.mapped().respond(
                unavailable("leadership changed; read again"));
        }
    }
}

void operator_service::respond_with_configuration(
    const http_responder& respond) const
{
    const filed_configuration& current = voter_->current();
    if (current.version == 0)
    {
        respond(error_answer(
            HTTPResponse::HTTP_NOT_FOUND, "no configuration was filed yet"));
        return;
    }
    http_response answer;
    answer.body = current.document;
    respond(answer);
}

void operator_service::expire_calls()
{
    for (auto* calls : {&open_filings_, &open_reads_})
    {
        std::erase_if(
            *calls,
            [this](const auto& item)
            {
                if (loop_.now() - item.second.since < call_timeout)
                {
                    return false;
                }
                item.second.respond(unavailable(
                    "no majority of the voters answered in time; try again"));
                return true;
            });
    }
}

} // namespace hickorygap
