#include "version/configuration/configuration.hpp"

#include "version/configuration/cell_map.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

template <typename Id, typename Object>
const Object* find_in(const std::map<Id, Object>& objects, Id id)
{
    const auto found = objects.find(id);
    return found == objects.end() ? nullptr : &found->second;
}

} // namespace

const service* configuration::find_service(service_id id) const
{
    return find_in(services_, id);
}

const backend_server*
configuration::find_backend_server(backend_server_id id) const
{
    return find_in(backend_servers_, id);
}

const organisation* configuration::find_organisation(organisation_id id) const
{
    return find_in(organisations_, id);
}

const cell* configuration::find_cell(cell_id id) const
{
    const auto found = std::find_if(
        cells_.begin(), cells_.end(),
        [id](const cell& entry) { return entry.id == id; });
    return found == cells_.end() ? nullptr : &*found;
}

const service*
configuration::find_service_by_model(std::string_view model) const
{
    const service* result = nullptr;
    for (const auto& [id, candidate] : services_)
    {
        if (candidate.kind == service_kind::engine &&
            candidate.model == model &&
            (result == nullptr || candidate.name < result->name))
        {
            result = &candidate;
        }
    }
    return result;
}

const organisation*
configuration::find_organisation_by_key(const digest& key) const
{
    const auto found = organisations_by_key_.find(key);
    return found == organisations_by_key_.end()
               ? nullptr
               : find_organisation(found->second);
}

std::vector<const cell*>
configuration::cells_for(service_id id, chat_id chat) const
{
    return cells_in_order(cells_, id, chat);
}

} // namespace hickorygap
