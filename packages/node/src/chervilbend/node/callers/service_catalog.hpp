#pragma once

#include <chervilbend/node/callers/model_target.hpp>
#include <chervilbend/node/callers/route_target.hpp>
#include <chervilbend/state/views.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilbend::node
{

/// Finds models, adapters and routes by name in the configuration in force. Rebuilds its index when a service's version has changed.
class service_catalog
{
public:
    using service_map = std::map<base::service_id, state::service_view>;

    /// @p current gives the configuration in force, for example replicated_state::services(); called at every look-up.
    explicit service_catalog(std::function<const service_map &()> current);

    /// By the name of a model, of an adapter, or "MODEL/ADAPTER". Where names collide, models win over adapters, and otherwise the
    /// service with the smaller id. nullptr when nothing has the name. Valid until the next call.
    const model_target *findModel(const std::string &name);

    /// The longest declared prefix of @p path, by whole path segments, that takes @p method; an exact method wins over "all methods".
    /// nullptr when there is none. Valid until the next call.
    const route_target *findRoute(std::string_view method, std::string_view path);

    /// Names that callers may use and the services that declare them, sorted by name. Valid until the next call.
    const std::map<std::string, model_target> &models();

private:
    void refresh();
    void index(const config::service_declaration &declaration);

    std::function<const service_map &()> m_current;
    std::vector<std::pair<base::service_id, base::log_offset>> m_versions;
    bool m_built = false;
    std::map<std::string, model_target> m_models;
    std::map<std::string, model_target> m_adapters;
    std::map<std::string, std::vector<route_target>, std::less<>> m_routes;
};

} // namespace chervilbend::node
