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

/// Index of the models, adapters and routes in the active configuration. It is rebuilt when the version of a service has changed.
class service_catalog
{
public:
    using service_map = std::map<base::service_id, state::service_view>;

    /// @p current returns the active configuration, for example replicated_state::services(). It is called on every look-up.
    explicit service_catalog(std::function<const service_map &()> current);

    /// Looks up a model name, an adapter name or "MODEL/ADAPTER". If names collide, models take precedence over adapters, then the service
    /// with the smaller id. nullptr if the name is unknown. Valid until the next call.
    const model_target *findModel(const std::string &name);

    /// Longest-prefix match of @p path, by whole path segments, among the routes that accept @p method. A route with exactly this method takes
    /// precedence over one for all methods. nullptr if there is none. Valid until the next call.
    const route_target *findRoute(std::string_view method, std::string_view path);

    /// All names that callers may use, with their targets, sorted by name. Valid until the next call.
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
