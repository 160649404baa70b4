#ifndef HICKORYGAP_CONNECTION_HTTP_CONNECTION_SOCKET_HPP
#define HICKORYGAP_CONNECTION_HTTP_CONNECTION_SOCKET_HPP

#include "common/time.hpp"
#include "connection/h1/message_framing.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorygap
{

// Server side of a caller's connection, plain or TLS. Holds the bytes that
// were read before a request is served, so that a header block can be
// collected without a thread waiting for it, and bounds the time that reading
// a request may take.
class connection_socket : public Poco::Net::StreamSocketImpl
{
public:
    enum class fill_result
    {
        // A complete header block is buffered.
        header_complete,
        // The peer has to send more.
        incomplete,
        too_large,
        closed
    };

    // Takes over the connected socket.
    explicit connection_socket(const Poco::Net::StreamSocket& inner);

    // Reads what has arrived without waiting for more, up to the limit.
    fill_result fill(std::size_t header_limit);

    // Reads and drops what has arrived; true once the peer has closed.
    bool discard_arrived();

    // A request with a buffered header block is going to be read. False when
    // it is not certain where its body ends, so that no other request may
    // follow on this connection.
    bool start_request();

    // Whether everything that was read since start_request is one request with
    // a valid body, and perhaps bytes after it.
    bool is_at_request_end() const;

    // Keeps bytes that a session has read beyond its request.
    void push_back(const char* data, std::size_t size);

    bool has_pending() const
    {
        return !pending_.empty();
    }

    // Reading fails with Poco::TimeoutException after this time.
    void set_read_deadline(time_point deadline)
    {
        read_deadline_ = deadline;
    }

    // Whether the peer has closed the connection or its sending side. Callers
    // that close only their sending side count as gone, because this can't be
    // told from a closed connection before something is sent.
    bool peer_left() const;

    // Ends the sending side; the peer sees the end of the response.
    void finish_sending();

    const Poco::Net::StreamSocket& inner() const
    {
        return inner_;
    }

    int receiveBytes(void* buffer, int length, int flags) override;
    int sendBytes(const void* buffer, int length, int flags) override;
    void close() override;
    bool secure() const override;

    // The connection that a request came in on; nullptr for requests of other
    // servers than http_server.
    static connection_socket* of(Poco::Net::HTTPServerRequest& request);

protected:
    ~connection_socket() override;

private:
    int receive_arrived(char* buffer, int length);
    void check_framing(std::string_view bytes);

    Poco::Net::StreamSocket inner_;
    std::string pending_;
    time_point read_deadline_{duration::max()};

    // Poco takes a damaged chunk for the end of the body, so the bytes that it
    // reads are checked here too.
    std::size_t header_left_ = 0;
    body_decoder body_;
    std::string unchecked_;
    body_decoder::state body_state_ = body_decoder::state::incomplete;
};

} // namespace hickorygap

#endif
