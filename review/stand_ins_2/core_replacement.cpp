// Machines of the core are replaced as planned: a new one first, then SIGTERM to
// the old one once the new one has had catch_up_s. Reads the configuration back
// afterwards.
//
// usage: core_replacement BINARY RECORD
// TROUBLE: 1 (default) three are replaced, one after the other; 0 none; slow:
// three, with twice the time between them; disks: one is replaced, and two
// others lose their disks more than catch_up_s after it has gone; replace and
// wipe: only one of these two.
#include "fleet.hpp"

#include <set>

namespace
{

using namespace review;

// Bounds of raiogaucho-rotas.
constexpr double catch_up_s = 4.0;
constexpr double recovery_s = 12.0;
constexpr int tolerated_disks = 2;

// What follows comes this long after the end of catch_up_s.
constexpr double margin_s = 0.1;

// The same for machines that are replaced one after the other.
constexpr double rolling_margin_s = 0.3;

constexpr int machine_count = 5;
constexpr int replaced_count = 3;
constexpr int all_machines = machine_count + replaced_count;

class trial
{
public:
    trial(const std::string& binary, const std::string& record_path)
        : record_{record_path}
        , fleet_{binary}
        , prefix_{loopback_prefix()}
    {
        std::vector<std::string> hosts{prefix_ + "9"};
        for (int i = 1; i <= all_machines; ++i)
        {
            const std::string name = "core-" + std::to_string(i);
            hosts.push_back(prefix_ + std::to_string(10 + i));
            fleet_.add(name, "vote", hosts.back());
        }
        control_port_ = free_port(hosts);
        peer_port_ = free_port(hosts);
        metrics_port_ = free_port(hosts);
        list_port_ = free_port(hosts);
    }

    // Replaces three machines, each time the one that has acknowledged last.
    // Each successor has had its time when the old machine gets its SIGTERM.
    int roll(double interval_s, int count)
    {
        if (!start_core())
        {
            return 2;
        }
        for (int i = 1; i <= replaced_count; ++i)
        {
            const int successor = machine_count + i;
            if (i <= count)
            {
                start(successor, false);
                record_.line("core-%d started, empty disk", successor);
            }
            sleep_until(now_s() + interval_s);
            if (!file_until_acknowledged(4))
            {
                return read_back(now_s());
            }
            if (i > count)
            {
                continue;
            }
            if (version_at(successor) != version_)
            {
                record_.line("core-%d has not caught up", successor);
                return 2;
            }
            record_.line(
                "core-%d reads the configuration, version %d", successor,
                version_);
            remove(acknowledged_by_);
        }
        return read_back(now_s());
    }

    int run(bool replaces, bool wipes)
    {
        if (!start_core())
        {
            return 2;
        }
        const int successor = machine_count + 1;
        std::string removed;
        if (replaces)
        {
            start(successor, false);
            record_.line("successor core-6 started, empty disk");
            sleep_until(now_s() + catch_up_s + 1);
            if (version_at(successor) != version_)
            {
                record_.line("the successor has not caught up");
                return 2;
            }
            record_.line(
                "successor core-6 reads the configuration, version %d",
                version_);
        }
        if (!file_until_acknowledged(5))
        {
            return 2;
        }
        if (replaces)
        {
            removed = acknowledged_by_;
            remove(removed);
        }
        sleep_until(now_s() + catch_up_s + margin_s);
        const double lost_from = now_s();
        if (!file_until_acknowledged(5))
        {
            return 2;
        }
        std::set<std::string> lost;
        if (wipes)
        {
            lose_disks(removed, lost);
            record_.line(
                "disks were lost %.2f s after the removed machine's time was "
                "over",
                now_s() - lost_from);
            sleep_until(now_s() + 1.0);
            for (const std::string& name : lost)
            {
                start(number_of(name), false);
                record_.line("%s started again, empty disk", name.c_str());
            }
        }
        return read_back(now_s());
    }

private:
    bool start_core()
    {
        list_ = std::make_unique<http_server>(
            prefix_ + "9", list_port_, [](const std::string&)
            { return json_answer(R"({"instances":[],"next":null})"); });
        for (int i = 1; i <= machine_count; ++i)
        {
            start(i, true);
        }
        record_.line("5 core machines started, bootstrap=true");
        const bool is_filed = file_until_acknowledged(15);
        if (!is_filed)
        {
            record_.line("the first configuration was not acknowledged");
        }
        return is_filed;
    }

    void remove(const std::string& name)
    {
        record_.line("SIGTERM to %s, which leaves for good", name.c_str());
        fleet::kill(fleet_.at(name), SIGTERM);
        record_.line("%s has ended", name.c_str());
    }

    static int number_of(const std::string& name)
    {
        return name.back() - '0';
    }

    std::string settings(const process& each, bool bootstrap) const
    {
        std::string seeds;
        for (int i = 1; i <= 3; ++i)
        {
            seeds += std::string{i == 1 ? "" : ","} + "\"" + prefix_ +
                     std::to_string(10 + i) + ":" +
                     std::to_string(control_port_) + "\"";
        }
        // deploy/settings.json.template with the values of raiogaucho-rotas.
        return "{\"instance\": {\"name\": \"" + each.name + "\", \"host\": \"" +
               each.host +
               "\", \"failure_domain\": \"bento-vale\" },"
               "\"callers\": {\"address\": \"\"},"
               "\"readiness\": {\"address\": \"\"},"
               "\"metrics\": {\"port\": " +
               std::to_string(metrics_port_) +
               "}, \"operators\": {\"address\": \"" + each.host + ":" +
               std::to_string(control_port_) +
               "\"}, \"peers\": {\"port\": " + std::to_string(peer_port_) +
               ", \"seeds\": [" + seeds +
               "], \"link_megabits_per_second\": 6.0 },"
               "\"storage\": {\"folder\": \"" +
               each.folder + "/data\", \"bootstrap\": " +
               (bootstrap ? "true" : "false") + ", \"lost_disks\": " +
               std::to_string(tolerated_disks) +
               "}, \"backend_list\": {\"address\": \"" + prefix_ + "9:" +
               std::to_string(list_port_) +
               "\", \"calls_per_second\": 40.0 },"
               "\"retry\": {\"ratio\": 0.2, \"slack\": 52, \"window_s\": 10},"
               "\"overload\": {\"features\": [\"base\",\"drain\",\"config\"] },"
               "\"machine\": {\"memory_mb\": 256, \"descriptors\": 4096 },"
               "\"shutdown\": {\"limit_s\": 8} }";
    }

    process& machine(int number)
    {
        return fleet_.at("core-" + std::to_string(number));
    }

    void start(int number, bool bootstrap)
    {
        process& each = machine(number);
        fleet_.start(each, settings(each, bootstrap));
    }

    static std::string document(int version)
    {
        return "{\"version\":" + std::to_string(version) +
               ",\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
               "\"path_prefix\":\"/p/\",\"kind\":\"safe\",\"timeout_ms\":" +
               std::to_string(3000 + version) +
               ",\"target_latency_ms\":300,\"priority\":0,"
               "\"service\":\"s-1\",\"max_attempts\":2}],"
               "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
               "\"max_connections\":96}],"
               "\"limits\":{\"max_header_bytes\":16384,"
               "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
               "\"idle_timeout_ms\":15000}}";
    }

    // Sends the next version to one machine after another until it is
    // acknowledged, as an operator does; follows redirects.
    bool file_until_acknowledged(double limit_s)
    {
        const double limit = now_s() + limit_s;
        const std::string body = document(++version_);
        while (now_s() < limit)
        {
            for (int i = 1; i <= all_machines; ++i)
            {
                process& each = machine(i);
                if (!fleet::is_running(each))
                {
                    continue;
                }
                std::string host = each.host;
                auto answer =
                    call(host, control_port_, "PUT", "/config", body);
                if (answer && answer->status == 307)
                {
                    const std::string location = answer->field("Location");
                    host = location.substr(7, location.find(':', 7) - 7);
                    answer = call(host, control_port_, "PUT", "/config", body);
                }
                if (answer && answer->status == 200)
                {
                    acknowledged_by_ =
                        "core-" +
                        std::to_string(std::atoi(
                                           host.c_str() + prefix_.size()) -
                                       10);
                    record_.line(
                        "PUT /config version %d acknowledged by %s", version_,
                        acknowledged_by_.c_str());
                    return true;
                }
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        record_.line("PUT /config version %d was not acknowledged", version_);
        return false;
    }

    // The machine that has just acknowledged and one more of the others that
    // began are killed at once and lose their disks.
    void lose_disks(const std::string& removed, std::set<std::string>& lost)
    {
        lost.insert(acknowledged_by_);
        for (int i = 1; i <= machine_count &&
                        lost.size() < std::size_t{tolerated_disks};
             ++i)
        {
            const std::string name = "core-" + std::to_string(i);
            if (name != removed)
            {
                lost.insert(name);
            }
        }
        for (const std::string& name : lost)
        {
            ::kill(fleet_.at(name).pid, SIGKILL);
        }
        for (const std::string& name : lost)
        {
            fleet::kill(fleet_.at(name), SIGKILL);
            fleet::wipe(fleet_.at(name));
            record_.line("%s loses power and its disk", name.c_str());
        }
    }

    // Version of the configuration that the machine answers; -1 for none.
    int version_at(int number)
    {
        const auto answer =
            call(machine(number).host, control_port_, "GET", "/config", "");
        last_status_ = answer ? answer->status : 0;
        if (!answer || answer->status != 200 ||
            answer->body.rfind("{\"version\":", 0) != 0)
        {
            return -1;
        }
        const int version = std::atoi(answer->body.c_str() + 11);
        return answer->body == document(version) ? version : -2;
    }

    // Reads for three times recovery_s. The configuration must be there from
    // recovery_s after the machines are back.
    int read_back(double back)
    {
        std::map<std::string, int> answers;
        int served = 0;
        bool is_older = false;
        double first_s = -1;
        while (now_s() < back + 3 * recovery_s)
        {
            for (int i = 1; i <= all_machines; ++i)
            {
                if (!fleet::is_running(machine(i)))
                {
                    continue;
                }
                const int version = version_at(i);
                ++answers
                    [version >= 0 ? "200 version " + std::to_string(version)
                                  : "status " + std::to_string(last_status_)];
                if (version == version_)
                {
                    ++served;
                    first_s = first_s < 0 ? now_s() - back : first_s;
                }
                is_older = is_older || (version >= 0 && version < version_);
            }
            std::this_thread::sleep_for(milliseconds{500});
        }
        for (const auto& [answer, count] : answers)
        {
            record_.line("GET /config: %s, %d times", answer.c_str(), count);
        }
        const int acknowledged = version_;
        const bool is_filed = file_until_acknowledged(4);
        if (served > 0 && first_s <= recovery_s && !is_older && is_filed)
        {
            record_.line(
                "held: version %d was read back %.1f s after all were back",
                acknowledged, first_s);
            return 0;
        }
        record_.line(
            "BROKEN: version %d, which was acknowledged, %s in %.0f s after "
            "all machines were back",
            acknowledged,
            is_older ? "was read back as an older one"
            : served == 0
                ? "was never read back"
                : "was not read back in time, or nothing more is accepted,",
            3 * recovery_s);
        return 1;
    }

    record record_;
    fleet fleet_;
    std::string prefix_;
    std::unique_ptr<http_server> list_;
    int control_port_ = 0;
    int peer_port_ = 0;
    int metrics_port_ = 0;
    int list_port_ = 0;
    int version_ = 0;
    int last_status_ = 0;
    std::string acknowledged_by_;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const char* const value = std::getenv("TROUBLE");
    const std::string trouble = value == nullptr ? "1" : value;
    int code = 2;
    {
        trial all{argv[1], argv[2]};
        if (trouble == "disks" || trouble == "replace" || trouble == "wipe")
        {
            code = all.run(trouble != "wipe", trouble != "replace");
        }
        else
        {
            code = all.roll(
                (catch_up_s + rolling_margin_s) * (trouble == "slow" ? 2 : 1),
                trouble == "0" ? 0 : replaced_count);
        }
    }
    std::fflush(stdout);
    std::_Exit(code);
}
