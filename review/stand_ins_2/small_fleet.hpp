// Five core machines and some routers with the settings of raiogaucho-rotas, the
// platform's list of backend servers, and an operator.
#ifndef REVIEW_STAND_INS_2_SMALL_FLEET_HPP
#define REVIEW_STAND_INS_2_SMALL_FLEET_HPP

#include "fleet.hpp"

namespace review
{

class small_fleet
{
public:
    static constexpr int voters = 5;

    small_fleet(const std::string& binary, record& notes, int routers)
        : record_{notes}
        , fleet_{binary}
        , prefix_{loopback_prefix()}
        , routers_{routers}
    {
        std::vector<std::string> hosts{prefix_ + "9"};
        for (int i = 1; i <= voters; ++i)
        {
            hosts.push_back(prefix_ + std::to_string(10 + i));
            fleet_.add("core-" + std::to_string(i), "vote", hosts.back());
        }
        for (int i = 1; i <= routers_; ++i)
        {
            hosts.push_back(prefix_ + std::to_string(50 + i));
            fleet_.add("front-" + std::to_string(i), "route", hosts.back());
        }
        for (int i = 1; i <= 9; ++i)
        {
            hosts.push_back(backend_host(i));
        }
        for (int* port :
             {&control_port_, &peer_port_, &metrics_port_, &list_port_,
              &caller_port_, &readiness_port_, &backend_port_})
        {
            // Distinct, because the ports that were found aren't taken yet.
            bool is_new = false;
            while (!is_new)
            {
                const int found = free_port(hosts);
                is_new = used_.insert(found).second;
                *port = found;
            }
        }
    }

    std::string backend_host(int number) const
    {
        return prefix_ + std::to_string(100 + number);
    }

    int backend_port() const
    {
        return backend_port_;
    }

    std::string router_host(int number) const
    {
        return prefix_ + std::to_string(50 + number);
    }

    int caller_port() const
    {
        return caller_port_;
    }

    process& router(int number)
    {
        return fleet_.at("front-" + std::to_string(number));
    }

    // Ends all processes and removes what they left.
    void end()
    {
        fleet_.end();
    }

    // Replaces what the platform's list shows.
    void show(const std::string& instances)
    {
        const std::lock_guard lock{mutex_};
        instances_ = instances;
    }

    std::string entry(
        const std::string& id, const std::string& service, int number,
        const std::string& version) const
    {
        return "{\"id\":\"" + id + "\",\"service\":\"" + service +
               "\",\"address\":\"" + backend_host(number) + ":" +
               std::to_string(backend_port_) +
               "\",\"zone\":\"bento-vale\",\"version\":\"" + version +
               "\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0}";
    }

    // The internal port that a router uses in place of the others', so that
    // proxies can stand between it and them. Before start_all.
    void set_peer_port(int number, int port)
    {
        own_peer_ports_["front-" + std::to_string(number)] = port;
    }

    int peer_port() const
    {
        return peer_port_;
    }

    std::string core_host(int number) const
    {
        return prefix_ + std::to_string(10 + number);
    }

    void start_router(int number)
    {
        fleet_.start(router(number), settings(router(number), false));
    }

    void start_all()
    {
        list_ = std::make_unique<http_server>(
            prefix_ + "9", list_port_,
            [this](const std::string&)
            {
                const std::lock_guard lock{mutex_};
                return json_answer(
                    "{\"instances\":[" + instances_ + "],\"next\":null}");
            });
        for (int i = 1; i <= voters; ++i)
        {
            process& each = fleet_.at("core-" + std::to_string(i));
            fleet_.start(each, settings(each, true));
        }
        for (int i = 1; i <= routers_; ++i)
        {
            fleet_.start(router(i), settings(router(i), false));
        }
    }

    bool is_ready(int number)
    {
        const auto answer = call(
            router_host(number), readiness_port_, "GET", "/ready", "", 1000);
        return answer && answer->status == 200;
    }

    bool wait_until_ready(double limit_s)
    {
        const double limit = now_s() + limit_s;
        while (now_s() < limit)
        {
            bool all = true;
            for (int i = 1; i <= routers_; ++i)
            {
                all = all && is_ready(i);
            }
            if (all)
            {
                return true;
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

    // Sends the document to one machine after another until it is
    // acknowledged, as an operator does; follows redirects.
    bool file(const std::string& document, double limit_s = 10)
    {
        const double limit = now_s() + limit_s;
        while (now_s() < limit)
        {
            for (int i = 1; i <= voters; ++i)
            {
                std::string host = prefix_ + std::to_string(10 + i);
                auto answer =
                    call(host, control_port_, "PUT", "/config", document);
                if (answer && answer->status == 307)
                {
                    const std::string location = answer->field("Location");
                    host = location.substr(7, location.find(':', 7) - 7);
                    answer =
                        call(host, control_port_, "PUT", "/config", document);
                }
                if (answer && answer->status == 200)
                {
                    return true;
                }
                if (answer && answer->status >= 400 && answer->status < 500)
                {
                    record_.line(
                        "PUT /config refused, status %d: %s", answer->status,
                        answer->body.c_str());
                    return false;
                }
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

private:
    int peer_port_of(const std::string& name) const
    {
        const auto own = own_peer_ports_.find(name);
        return own == own_peer_ports_.end() ? peer_port_ : own->second;
    }

    std::string settings(const process& each, bool bootstrap) const
    {
        const bool routes = each.command == "route";
        const auto at = [&](bool is_served, int port)
        {
            return is_served ? each.host + ":" + std::to_string(port)
                             : std::string{};
        };
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
               "\"callers\": {\"address\": \"" +
               at(routes, caller_port_) + "\"}, \"readiness\": {\"address\": \"" +
               at(routes, readiness_port_) + "\"}, \"metrics\": {\"port\": " +
               std::to_string(metrics_port_) +
               "}, \"operators\": {\"address\": \"" + at(!routes, control_port_) +
               "\"}, \"peers\": {\"port\": " +
               std::to_string(peer_port_of(each.name)) +
               ", \"seeds\": [" + seeds + "], \"link_megabits_per_second\": " +
               (routes ? "1000.0" : "6.0") +
               " }, \"storage\": {\"folder\": \"" +
               (routes ? std::string{} : each.folder + "/data") +
               "\", \"bootstrap\": " + (bootstrap ? "true" : "false") +
               ", \"lost_disks\": 2 }, \"backend_list\": {\"address\": \"" +
               prefix_ + "9:" + std::to_string(list_port_) +
               "\", \"calls_per_second\": 40.0 },"
               "\"retry\": {\"ratio\": 0.2, \"slack\": 52, \"window_s\": 10},"
               "\"overload\": {\"features\": [\"base\",\"drain\",\"config\","
               "\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
               "\"tenants\"] },"
               "\"machine\": {\"memory_mb\": " +
               (routes ? "260, \"descriptors\": 4100"
                       : "256, \"descriptors\": 4096") +
               " }, \"shutdown\": {\"limit_s\": 8} }";
    }

    record& record_;
    fleet fleet_;
    std::string prefix_;
    int routers_;
    std::set<int> used_;
    std::map<std::string, int> own_peer_ports_;
    int control_port_ = 0;
    int peer_port_ = 0;
    int metrics_port_ = 0;
    int list_port_ = 0;
    int caller_port_ = 0;
    int readiness_port_ = 0;
    int backend_port_ = 0;
    std::unique_ptr<http_server> list_;
    std::mutex mutex_;
    std::string instances_;
};

} // namespace review

#endif
