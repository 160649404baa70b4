#ifndef HICKORYGAP_TESTS_CROWDS_CROWD_MEMBER_HPP
#define HICKORYGAP_TESTS_CROWDS_CROWD_MEMBER_HPP

#include "connection/event/stream_connection.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hickorygap::test
{

// What one client of a crowd sends on its connection.
struct crowd_script
{
    // Request line and fields without the framing of the body. Empty for a
    // client that connects and sends nothing.
    std::string head;

    // The length of the body, as announced or sent in chunks.
    std::size_t body_bytes = 0;

    // Size of a chunk; zero announces the length of the body instead.
    std::size_t chunk_bytes = 0;

    // The client stops this many bytes before the end of the body and keeps its
    // connection open.
    std::size_t missing_bytes = 0;

    // Bytes that are written at once.
    std::size_t piece_bytes = std::size_t{64} * 1024;

    // How often the request is sent, without waiting for responses.
    int requests = 1;

    // Whether the client reads responses.
    bool reads = true;
};

// A client outside the limits, or one that stops midway.
class crowd_member final : public connection_observer
{
public:
    crowd_member(
        event_loop& loop, const numeric_address& server,
        const crowd_script& script);
    ~crowd_member() override;

    // Whether the client has sent what it wants to send, or can't go on because
    // the server has responded or closed the connection.
    bool is_settled() const;

    void on_connected() override;
    void on_input() override;
    void on_drained() override;
    void on_end(connection_end end) override;

private:
    void write_body();

    const crowd_script& script_;
    std::unique_ptr<stream_connection> connection_;
    std::string chunk_;
    std::size_t body_sent_ = 0;
    bool is_connected_ = false;
    bool has_ended_ = false;
};

} // namespace hickorygap::test

#endif
