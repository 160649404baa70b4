#ifndef HICKORYGAP_TESTS_SOAK_SOAK_BACKENDS_HPP
#define HICKORYGAP_TESTS_SOAK_SOAK_BACKENDS_HPP

#include "common/random.hpp"
#include "connection/event/listener.hpp"
#include "connection/h1/http_endpoint.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorygap::test
{

// Simulated backend servers on the event loop of the soak test, and the HTTP
// endpoint that lists them. They count the runs of each request. At random they
// reject a request, truncate a response or leave a request unanswered.
class soak_backends
{
public:
    soak_backends(event_loop& loop, std::uint64_t seed, std::string network);
    ~soak_backends();

    // Error: unreachable when an address is already in use.
    absl::Status open(const numeric_address& list_address);

    // Closes all connections and the listening port of a server, and listens
    // again after the given time.
    void crash(std::size_t server, duration time);

    // While disabled, every request gets a complete response.
    void set_faults(bool enabled)
    {
        faults_enabled_ = enabled;
    }

    // How often the request with this Request-Id was run.
    int runs(const std::string& id) const;

    std::size_t size() const
    {
        return servers_.size();
    }

    // Number of events in each complete stream.
    static constexpr int stream_events = 5;

private:
    class connection;
    struct server
    {
        numeric_address address;
        std::unique_ptr<listener> port;
        std::map<const connection*, std::unique_ptr<connection>> connections;
    };

    absl::Status open_port(server& backend);
    void remove(const connection* ended);

    event_loop& loop_;
    random_engine random_;
    std::vector<std::unique_ptr<server>> servers_;
    http_endpoint server_list_;
    std::map<std::string, int> runs_;
    bool faults_enabled_ = true;
};

} // namespace hickorygap::test

#endif
