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

// Backend servers in the soak's own loop and the list that names them. They
// remember what they ran, and break off, reject, fall silent and crash.
class soak_backends
{
public:
    soak_backends(event_loop& loop, std::uint64_t seed, std::string network);
    ~soak_backends();

    // Error: unreachable, when an address is taken.
    absl::Status open(const numeric_address& list);

    // Closes all connections of a server and its port for the time.
    void crash(std::size_t server, duration time);

    // Without it all requests are answered in order.
    void set_faults(bool enabled)
    {
        faults_ = enabled;
    }

    // Times that the request was run.
    int runs(const std::string& id) const;

    std::size_t size() const
    {
        return servers_.size();
    }

    // Events of each stream.
    static constexpr int stream_events = 5;

private:
    class connection;
    struct server
    {
        numeric_address address;
        std::unique_ptr<listener> port;
        std::map<const connection*, std::unique_ptr<connection>> connections;
    };

    absl::Status open_port(server& self);
    void remove(const connection* ended);

    event_loop& loop_;
    random_engine random_;
    std::vector<std::unique_ptr<server>> servers_;
    http_endpoint list_;
    std::map<std::string, int> runs_;
    bool faults_ = true;
};

} // namespace hickorygap::test

#endif
