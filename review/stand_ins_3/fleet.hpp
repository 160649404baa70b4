#ifndef HICKORYGAP_REVIEW_STAND_INS_3_FLEET_HPP
#define HICKORYGAP_REVIEW_STAND_INS_3_FLEET_HPP

#include "network.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

// The processes of a small deployment, the platform's list of replicas, and
// the operator.
namespace review
{

// The test can't run; its exit status is 2.
struct cannot_run
{
    std::string reason;
};

// Lines with the time since the start, in record.txt.
class recorder
{
public:
    explicit recorder(const std::string& path)
        : file_{path}
        , start_{clock_type::now()}
    {
    }

    template <typename... Parts>
    void line(const Parts&... parts)
    {
        std::ostringstream text;
        text.setf(std::ios::fixed);
        text.precision(3);
        text << seconds();
        ((text << ' ' << parts), ...);
        const std::lock_guard lock{mutex_};
        file_ << text.str() << std::endl;
    }

    // Also to the standard output.
    template <typename... Parts>
    void result(const Parts&... parts)
    {
        line(parts...);
        std::ostringstream text;
        ((text << parts << ' '), ...);
        const std::lock_guard lock{mutex_};
        std::cout << text.str() << std::endl;
    }

    double seconds() const
    {
        return std::chrono::duration<double>(clock_type::now() - start_)
            .count();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock_type::time_point start_;
};

// The platform's list: what it tells is as old as its lag.
class replica_list
{
public:
    struct entry
    {
        std::string id;
        std::string service;
        address at;
        std::string version;
        bool draining = false;
    };

    bool start(const address& at)
    {
        return server_.start(at, [this](connection& link) { serve(link); });
    }

    void publish(std::vector<entry> entries)
    {
        const std::lock_guard lock{mutex_};
        history_.emplace_back(clock_type::now(), std::move(entries));
    }

private:
    static constexpr milliseconds lag{800};

    std::string document()
    {
        const std::lock_guard lock{mutex_};
        const std::vector<entry>* told = &history_.front().second;
        for (const auto& [since, entries] : history_)
        {
            if (since + lag <= clock_type::now())
            {
                told = &entries;
            }
        }
        std::string text = "{\"instances\":[";
        for (const entry& each : *told)
        {
            text += std::string{text.back() == '[' ? "" : ","} +
                    "{\"service\":\"" + each.service + "\",\"address\":\"" +
                    each.at.text() + "\",\"zone\":\"zone-a\",\"version\":\"" +
                    each.version + "\",\"slots\":256,\"state\":\"" +
                    (each.draining ? "draining" : "ready") +
                    "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":"
                    "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                    "\"id\":\"" +
                    each.id + "\"}";
        }
        return text + "],\"next\":null}";
    }

    void serve(connection& link)
    {
        http_head head;
        while (link.read_head(head))
        {
            const std::string body = document();
            if (!link.write(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body))
            {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::vector<std::pair<clock_type::time_point, std::vector<entry>>> history_;
    server server_;
};

// Voters and routers as processes of the program that the deploy file builds.
// Their settings are the template's, with the values of a small deployment.
class fleet
{
public:
    static constexpr std::size_t voters = 5;

    // spares: core machines that are started later, after the routers in the
    // numbers of the processes.
    fleet(
        std::string repository, std::string folder, std::size_t routers,
        std::size_t spares = 0)
        : repository_{std::move(repository)}
        , folder_{std::move(folder)}
        , routers_{routers}
        , processes_(voters + routers + spares)
    {
        choose_addresses();
    }

    ~fleet()
    {
        for (const pid_t process : processes_)
        {
            if (process > 0)
            {
                ::kill(process, SIGCONT);
                ::kill(process, SIGKILL);
                ::waitpid(process, nullptr, 0);
            }
        }
    }

    std::size_t routers() const
    {
        return routers_;
    }

    address list_address() const
    {
        return {network_ + ".200", list_port_};
    }

    std::string replica_host(std::size_t replica) const
    {
        return network_ + "." + std::to_string(100 + replica);
    }

    std::uint16_t replica_port() const
    {
        return replica_port_;
    }

    address front(std::size_t router) const
    {
        return {host(voters + router), front_port_};
    }

    // process: a voter, or a spare.
    address control(std::size_t process) const
    {
        return {host(process), control_port_};
    }

    std::size_t spare(std::size_t number) const
    {
        return voters + routers_ + number;
    }

    // Core machines whose addresses stand in settings that are written from now
    // on.
    void set_seeds(std::vector<std::size_t> processes)
    {
        seeds_ = std::move(processes);
    }

    void signal(std::size_t process, int number)
    {
        ::kill(processes_.at(process), number);
    }

    void start()
    {
        for (std::size_t i = 0; i < voters + routers_; ++i)
        {
            start(i, true);
        }
    }

    // The platform writes the settings at each start, and when they change.
    void write_settings(std::size_t process, bool bootstrap) const
    {
        std::ofstream{folder_ + "/" + std::to_string(process) + ".settings"}
            << settings(process, bootstrap);
    }

    // bootstrap: the whole system starts for the first time.
    void start(std::size_t process, bool bootstrap)
    {
        write_settings(process, bootstrap);
        const std::string name = folder_ + "/" + std::to_string(process);
        if (has_disk(process))
        {
            std::filesystem::create_directories(disk(process));
        }
        const std::string program = repository_ + "/target/src/hickorygap";
        if (!std::filesystem::exists(program))
        {
            throw cannot_run{"the program is not built: " + program};
        }
        const pid_t child = ::fork();
        if (child == 0)
        {
            // Ends with the test, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(
                (name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execl(
                program.c_str(), program.c_str(),
                has_disk(process) ? "vote" : "route", "--settings",
                (name + ".settings").c_str(), nullptr);
            ::_exit(127);
        }
        processes_.at(process) = child;
    }

    // Ends the process at once; its disk stays.
    void kill(std::size_t process)
    {
        pid_t& id = processes_.at(process);
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
        id = 0;
    }

    // The machine loses its disk, while its process is down.
    void wipe(std::size_t process) const
    {
        std::filesystem::remove_all(disk(process));
    }

    // Whether all processes that were started still run.
    bool is_running()
    {
        for (const pid_t process : processes_)
        {
            if (process > 0 && ::waitpid(process, nullptr, WNOHANG) != 0)
            {
                return false;
            }
        }
        return true;
    }

    void configure(const std::string& document)
    {
        const auto end = clock_type::now() + std::chrono::seconds{20};
        for (std::size_t i = 0; clock_type::now() < end; ++i)
        {
            if (put(control(i % voters), document) == 200)
            {
                return;
            }
            std::this_thread::sleep_for(milliseconds{100});
        }
        throw cannot_run{"no voter has acknowledged the configuration"};
    }

    void await_ready()
    {
        for (std::size_t i = 0; i < routers(); ++i)
        {
            const auto end = clock_type::now() + std::chrono::seconds{15};
            while (!is_ready(i))
            {
                if (clock_type::now() > end)
                {
                    throw cannot_run{"a router does not become ready"};
                }
                std::this_thread::sleep_for(milliseconds{50});
            }
        }
    }

    int put(const address& at, const std::string& document)
    {
        const auto link = connection::dial(at);
        if (!link)
        {
            return 0;
        }
        link->set_deadline(clock_type::now() + std::chrono::seconds{2});
        link->write(
            "PUT /config HTTP/1.1\r\nHost: control\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(document.size()) + "\r\n\r\n" + document);
        http_head head;
        return link->read_head(head) ? head.status() : 0;
    }

    // The status of a read of the configuration; zero without an answer.
    int read(const address& at, std::string& document)
    {
        const auto link = connection::dial(at);
        if (!link)
        {
            return 0;
        }
        link->set_deadline(clock_type::now() + std::chrono::seconds{2});
        link->write("GET /config HTTP/1.1\r\nHost: control\r\n"
                    "Connection: close\r\n\r\n");
        http_head head;
        return link->read_head(head) && link->read_body(head, document)
                   ? head.status()
                   : 0;
    }

    bool is_ready(std::size_t router)
    {
        const auto link =
            connection::dial({host(voters + router), readiness_port_});
        if (!link)
        {
            return false;
        }
        link->set_deadline(clock_type::now() + std::chrono::seconds{1});
        link->write("GET /ready HTTP/1.1\r\nHost: router\r\n"
                    "Connection: close\r\n\r\n");
        http_head head;
        return link->read_head(head) && head.status() == 200;
    }

private:
    std::string host(std::size_t process) const
    {
        return network_ + "." + std::to_string(process + 1);
    }

    // A part of the loopback network and ports that nobody uses.
    void choose_addresses()
    {
        const auto seed = static_cast<unsigned>(::getpid());
        for (unsigned attempt = 0; attempt < 50; ++attempt)
        {
            const unsigned draw = (seed + attempt * 7919) * 2654435761U;
            network_ = "127." + std::to_string(16 + (draw >> 24) % 200) + "." +
                       std::to_string((draw >> 16) % 256);
            const auto base =
                static_cast<std::uint16_t>(12000 + (draw >> 4) % 8000);
            front_port_ = base;
            readiness_port_ = static_cast<std::uint16_t>(base + 1);
            control_port_ = static_cast<std::uint16_t>(base + 2);
            peer_port_ = static_cast<std::uint16_t>(base + 3);
            list_port_ = static_cast<std::uint16_t>(base + 4);
            replica_port_ = static_cast<std::uint16_t>(base + 5);
            bool free = is_free(list_address());
            for (std::size_t i = 0; i < processes_.size(); ++i)
            {
                for (const std::uint16_t port :
                     {front_port_, readiness_port_, control_port_, peer_port_,
                      metrics_port})
                {
                    free = free && is_free({host(i), port});
                }
            }
            if (free)
            {
                return;
            }
        }
        throw cannot_run{"no free loopback addresses"};
    }

    // Fills in the placeholders of the template, which are all values.
    std::string settings(std::size_t process, bool bootstrap) const
    {
        const bool is_voter = has_disk(process);
        const auto quoted = [](const std::string& text)
        { return "\"" + text + "\""; };
        std::string seeds;
        for (const std::size_t seed : seeds_)
        {
            seeds += (seeds.empty() ? "" : ",") + quoted(control(seed).text());
        }
        const std::map<std::string, std::string> values{
            {"node_name|json",
             quoted(
                 (is_voter ? "core-" : "front-") + std::to_string(process))},
            {"ip|json", quoted(host(process))},
            {"zone|json", quoted("zone-a")},
            {"listen.front",
             is_voter ? "" : front(process - voters).text()},
            {"listen.readiness_addr",
             is_voter ? "" : address{host(process), readiness_port_}.text()},
            {"listen.control", is_voter ? control(process).text() : ""},
            {"internal_ports.0", std::to_string(peer_port_)},
            {"seeds|json", "[" + seeds + "]"},
            {"limits.link_mbps", is_voter ? "6" : "1000.0"},
            {"limits.memory_mb", is_voter ? "256" : "260"},
            {"limits.max_fds", is_voter ? "4096" : "4100"},
            {"data_dir", is_voter ? disk(process) : ""},
            {"bootstrap|json", bootstrap ? "true" : "false"},
            {"fault_tolerance.machines", "2"},
            {"cloud.address", list_address().text()},
            {"cloud.rate_per_s", "40.0"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_budget_slack", "52"},
            {"bounds.budget_window_s", "10"},
            {"bounds.grace_s", "8"},
            {"contracts|json",
             R"(["base","drain","config","cost","retry","recover","engine",)"
             R"("stream","tenants"])"}};
        std::ifstream file{repository_ + "/deploy/settings.json.template"};
        std::string text{std::istreambuf_iterator<char>{file}, {}};
        for (std::size_t begin = text.find("{{"); begin != std::string::npos;
             begin = text.find("{{", begin))
        {
            const std::size_t end = text.find("}}", begin);
            const std::string name = text.substr(begin + 2, end - begin - 2);
            const auto value = values.find(name);
            if (value == values.end())
            {
                throw cannot_run{"the template has the unknown value " + name};
            }
            text.replace(begin, end + 2 - begin, value->second);
            begin += value->second.size();
        }
        return text;
    }

    bool has_disk(std::size_t process) const
    {
        return process < voters || process >= voters + routers_;
    }

    std::string disk(std::size_t process) const
    {
        return folder_ + "/disk-" + std::to_string(process);
    }

    static constexpr std::uint16_t metrics_port = 9464;

    std::string repository_;
    std::string folder_;
    std::size_t routers_;
    std::vector<std::size_t> seeds_{0, 1, 2};
    std::string network_;
    std::uint16_t front_port_ = 0;
    std::uint16_t readiness_port_ = 0;
    std::uint16_t control_port_ = 0;
    std::uint16_t peer_port_ = 0;
    std::uint16_t list_port_ = 0;
    std::uint16_t replica_port_ = 0;
    std::vector<pid_t> processes_;
};

// Whether the variable has a value other than the one that switches it off.
inline bool is_switched(const char* name, bool otherwise)
{
    const char* value = std::getenv(name);
    return value == nullptr ? otherwise : std::string{value} != "0";
}

} // namespace review

#endif
