// Makes configurations until src/version/configuration has its sources; left
// out of the build as soon as they exist.
#include "support/test_configuration.hpp"

#include <utility>

namespace hickorygap
{

const service* configuration::find_service(service_id id) const
{
    const auto found = services_.find(id);
    return found == services_.end() ? nullptr : &found->second;
}

const backend_server*
configuration::find_backend_server(backend_server_id id) const
{
    const auto found = backend_servers_.find(id);
    return found == backend_servers_.end() ? nullptr : &found->second;
}

const service*
configuration::find_service_by_model(std::string_view model) const
{
    for (const auto& [id, each] : services_)
    {
        if (each.kind == service_kind::engine && each.model == model)
        {
            return &each;
        }
    }
    return nullptr;
}

const organisation*
configuration::find_organisation_by_key(const digest& key) const
{
    const auto found = organisations_by_key_.find(key);
    return found == organisations_by_key_.end()
               ? nullptr
               : &organisations_.at(found->second);
}

class configuration_builder
{
public:
    void add(service added)
    {
        added.id = hash_name(added.name);
        result_->services_[added.id] = std::move(added);
    }

    void add(backend_server added)
    {
        added.id = hash_name(added.name);
        result_->backend_servers_[added.id] = std::move(added);
    }

    void add(organisation added, std::string_view key)
    {
        added.id = hash_name(added.name);
        added.api_key_digests = {sha256(key)};
        result_->organisations_by_key_[sha256(key)] = added.id;
        result_->organisations_[added.id] = std::move(added);
    }

    configuration_ptr result() const
    {
        return result_;
    }

private:
    std::shared_ptr<configuration> result_ = std::make_shared<configuration>();
};

namespace testing
{

configuration_ptr make_test_configuration(std::vector<test_server> servers)
{
    configuration_builder builder;
    service report;
    report.name = report.model = "report-7b";
    builder.add(report);
    service calculator;
    calculator.name = "calculator";
    calculator.kind = service_kind::plain;
    calculator.path = "/calculator";
    calculator.ranks[static_cast<std::size_t>(rank::background)].target =
        std::chrono::milliseconds{1};
    builder.add(calculator);
    service booking = calculator;
    booking.name = "booking";
    booking.path = "/booking";
    booking.repeatable = false;
    builder.add(booking);
    organisation diarroi;
    diarroi.name = "diarroi";
    diarroi.highest_rank = rank::urgent;
    builder.add(diarroi, "key-diarroi");
    organisation tenant;
    tenant.name = "tenant";
    tenant.highest_rank = rank::normal;
    builder.add(tenant, "key-tenant");
    for (const test_server& each : servers)
    {
        backend_server server;
        server.name = each.name;
        server.host = "127.0.0.1";
        server.port = each.port;
        server.service = hash_name(each.service);
        builder.add(server);
    }
    return builder.result();
}

} // namespace testing

} // namespace hickorygap
