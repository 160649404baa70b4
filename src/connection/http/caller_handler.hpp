#ifndef HICKORYGAP_CONNECTION_HTTP_CALLER_HANDLER_HPP
#define HICKORYGAP_CONNECTION_HTTP_CALLER_HANDLER_HPP

#include "common/random.hpp"
#include "connection/http/caller_request_limits.hpp"
#include "connection/http/http_server.hpp"
#include "connection/http/organisation_concurrency_limiter.hpp"
#include "connection/http/request_relay.hpp"

#include <absl/status/status.h>

#include <mutex>
#include <string>

namespace hickorygap
{

// Serves the callers' port: chat completions, plain services, liveness and
// readiness.
class caller_handler : public http_handler
{
public:
    // Request identifiers are generated from the seed, which must differ
    // between instances and restarts.
    caller_handler(
        control_client& control, request_relay& relay, relay_counters& counters,
        const caller_request_limits& limits, std::uint64_t seed);

    void handle(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) override;

private:
    void serve_readiness(Poco::Net::HTTPServerResponse& response);
    void serve_request(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);
    void serve_authenticated(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response, relayed_request& relayed);
    absl::Status authenticate_caller(
        const Poco::Net::HTTPServerRequest& request,
        relayed_request& relayed) const;
    absl::Status resolve_target(
        const Poco::Net::HTTPServerRequest& request, std::string_view path,
        relayed_request& relayed) const;
    absl::Status resolve_chat_target(
        const Poco::Net::HTTPServerRequest& request,
        relayed_request& relayed) const;
    absl::Status resolve_plain_target(
        const Poco::Net::HTTPServerRequest& request, std::string_view path,
        relayed_request& relayed) const;
    absl::Status read_chat_id(
        const Poco::Net::HTTPServerRequest& request, std::string_view in_body,
        relayed_request& relayed) const;
    absl::Status read_idempotency_key(
        const Poco::Net::HTTPServerRequest& request,
        relayed_request& relayed) const;
    void refuse(Poco::Net::HTTPServerResponse& response, const refusal& reason);
    void
    refuse(Poco::Net::HTTPServerResponse& response, const absl::Status& status);
    request_id next_request_id();

    control_client& control_;
    request_relay& relay_;
    relay_counters& counters_;
    const caller_request_limits limits_;
    organisation_concurrency_limiter concurrency_limiter_;
    std::mutex mutex_;
    random_engine random_;
};

} // namespace hickorygap

#endif
