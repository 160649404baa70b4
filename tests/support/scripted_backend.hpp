#ifndef HICKORYGAP_TESTS_SUPPORT_SCRIPTED_BACKEND_HPP
#define HICKORYGAP_TESTS_SUPPORT_SCRIPTED_BACKEND_HPP

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hickorygap::testing
{

// Backend server whose responses and faults are scripted by the test. Serves
// one connection at a time; always answers GET /load.
class scripted_backend
{
public:
    // A request as received.
    struct exchange
    {
        scripted_backend& backend;
        Poco::Net::StreamSocket& socket;
        std::string text;

        // Value of the header X-Attempt.
        std::string attempt() const;
        std::string body() const;
        void send(std::string_view bytes);

        // Sends a complete response.
        void
        answer(int status, std::string_view body, std::string_view attempt);

        // Sends the response head of an event stream, then each event as a
        // chunk.
        void start_stream();
        void send_event(std::string_view event);

        // Simulates a process that exits: closes the listener, and resets the
        // connection.
        void simulate_crash();
    };
    using script = std::function<void(exchange&)>;

    explicit scripted_backend(script run);
    ~scripted_backend();
    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    // Requests received, except GET /load.
    std::size_t requests() const
    {
        return requests_;
    }

private:
    void serve();
    void serve_one(Poco::Net::StreamSocket socket);

    script run_;
    Poco::Net::ServerSocket listener_;
    std::uint16_t port_;
    std::atomic<std::size_t> requests_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace hickorygap::testing

#endif
