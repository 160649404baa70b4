#ifndef HICKORYGAP_CONNECTION_HTTP_HTTP_CALLER_CHANNEL_HPP
#define HICKORYGAP_CONNECTION_HTTP_HTTP_CALLER_CHANNEL_HPP

#include "connection/http/accepted_socket.hpp"
#include "connection/http/caller_channel.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>

namespace hickorygap
{

// Sends through the HTTPServerResponse of one request.
class http_caller_channel : public caller_channel
{
public:
    http_caller_channel(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);

    bool disconnected() override;
    void refuse(const refusal& reason) override;
    void respond(
        std::uint16_t status, const std::string& content_type,
        std::string_view body) override;
    void start_stream() override;
    bool send_event(std::string_view event) override;
    void fail_stream(const refusal& reason) override;

private:
    Poco::Net::HTTPServerResponse& response_;
    accepted_socket* socket_;
    std::ostream* stream_ = nullptr;
};

} // namespace hickorygap

#endif
