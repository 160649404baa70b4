#ifndef HICKORYGAP_CONNECTION_HTTP_ACCEPTED_SOCKET_HPP
#define HICKORYGAP_CONNECTION_HTTP_ACCEPTED_SOCKET_HPP

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

// Accepted connection, plain or TLS. Buffers input until a header block is
// complete, so that no thread has to wait for it, and enforces a deadline on
// reading a request.
class accepted_socket : public Poco::Net::StreamSocketImpl
{
public:
    enum class read_result
    {
        header_complete,
        incomplete,
        too_large,
        closed
    };

    // Takes ownership of the connected socket.
    explicit accepted_socket(const Poco::Net::StreamSocket& inner);

    // Buffers the available input without blocking, until a header block is
    // complete or the buffer exceeds `header_limit_bytes`.
    read_result read_available(std::size_t header_limit_bytes);

    // Reads and discards available input; true once the peer has closed.
    bool discard_available();

    // Prepares the framing check for the request whose header block is
    // buffered. False when the framing of its body is invalid or ambiguous, so
    // that no other request may follow on this connection.
    bool start_request();

    // The head of the request that was started. Its fields have the bytes that
    // arrived, unlike those of Poco's request.
    const Poco::Net::HTTPRequest& head() const
    {
        return head_;
    }

    // Whether the input read since start_request holds one complete request
    // with a valid body, possibly followed by further bytes.
    bool is_request_consumed() const;

    // Puts bytes that a session read beyond its request back into the buffer.
    void return_unconsumed(const char* data, std::size_t size);

    bool has_buffered_input() const
    {
        return !buffered_.empty();
    }

    // Reads fail with Poco::TimeoutException after this time.
    void set_read_deadline(time_point deadline)
    {
        read_deadline_ = deadline;
    }

    // Whether the peer has closed the connection or its sending side. A
    // half-closed connection counts as disconnected, because the two can't be
    // told apart until something is sent.
    bool peer_disconnected() const;

    // Shuts down the sending side, which ends the response for the peer.
    void shutdown_send();

    const Poco::Net::StreamSocket& inner() const
    {
        return inner_;
    }

    int receiveBytes(void* buffer, int length, int flags) override;
    int sendBytes(const void* buffer, int length, int flags) override;
    void close() override;
    bool secure() const override;

    // The connection of a request; nullptr when http_server didn't accept it.
    static accepted_socket* of(Poco::Net::HTTPServerRequest& request);

protected:
    ~accepted_socket() override;

private:
    int receive_nonblocking(char* buffer, int length);
    void decode_framing(std::string_view bytes);

    Poco::Net::StreamSocket inner_;
    std::string buffered_;
    time_point read_deadline_{duration::max()};

    // Poco treats a malformed chunk as the end of the body. The bytes that it
    // reads are decoded a second time here to detect this.
    std::size_t header_remaining_ = 0;
    Poco::Net::HTTPRequest head_;
    body_decoder body_;
    std::string undecoded_;
    body_decoder::state body_state_ = body_decoder::state::incomplete;
};

} // namespace hickorygap

#endif
