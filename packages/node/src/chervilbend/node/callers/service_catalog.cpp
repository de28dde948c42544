#include <chervilbend/node/callers/service_catalog.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::node
{

namespace
{

std::string normalizedPrefix(std::string prefix)
{
    while (prefix.size() > 1 && prefix.back() == '/') {
        prefix.pop_back();
    }
    return prefix;
}

/// The path without its last segment; empty for "/".
std::string_view parentOf(std::string_view path)
{
    if (path.size() <= 1) {
        return {};
    }
    const std::size_t slash = path.rfind('/');
    return slash == 0 || slash == std::string_view::npos ? std::string_view("/") : path.substr(0, slash);
}

const route_target *selectRoute(const std::vector<route_target> &routes, std::string_view method)
{
    const route_target *anyMethodRoute = nullptr;
    for (const route_target &candidate : routes) {
        if (candidate.route.method == method) {
            return &candidate;
        }
        if (candidate.route.method.empty() && !anyMethodRoute) {
            anyMethodRoute = &candidate;
        }
    }
    return anyMethodRoute;
}

} // namespace

service_catalog::service_catalog(std::function<const service_map &()> current)
    : m_current(std::move(current))
{
}

const model_target *service_catalog::findModel(const std::string &name)
{
    refresh();
    const auto model = m_models.find(name);
    return model == m_models.end() ? nullptr : &model->second;
}

const route_target *service_catalog::findRoute(std::string_view method, std::string_view path)
{
    refresh();
    for (std::string_view prefix = path; !prefix.empty(); prefix = parentOf(prefix)) {
        const auto found = m_routes.find(prefix);
        const route_target *const target = found == m_routes.end() ? nullptr : selectRoute(found->second, method);
        if (target) {
            return target;
        }
    }
    return nullptr;
}

const std::map<std::string, model_target> &service_catalog::models()
{
    refresh();
    return m_models;
}

void service_catalog::refresh()
{
    const service_map &services = m_current();
    const auto sameVersion = [](const auto &known, const auto &current) {
        return known.first == current.first && known.second == current.second.version;
    };
    if (m_built && std::equal(m_versions.begin(), m_versions.end(), services.begin(), services.end(), sameVersion)) {
        return;
    }
    m_built = true;
    m_versions.clear();
    m_models.clear();
    m_adapters.clear();
    m_routes.clear();
    for (const auto &[id, service] : services) {
        m_versions.emplace_back(id, service.version);
        index(service.declaration);
    }
    m_models.merge(m_adapters);
}

void service_catalog::index(const config::service_declaration &declaration)
{
    for (const config::model_declaration &model : declaration.models) {
        m_models.try_emplace(model.name, model_target{itemOf(model).value(), declaration.service, declaration.policy});
        for (const config::adapter_declaration &adapter : model.adapters) {
            const model_target target{itemOf(model, adapter).value(), declaration.service, declaration.policy};
            m_adapters.try_emplace(adapter.name, target);
            m_adapters.try_emplace(model.name + '/' + adapter.name, target);
        }
    }
    for (const config::route_declaration &route : declaration.routes) {
        m_routes[normalizedPrefix(route.prefix)].push_back({"service/" + declaration.service.value(), declaration.service, route});
    }
}

} // namespace chervilbend::node
