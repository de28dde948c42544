#include <chervilbend/config/declaration_check.hpp>

#include <chervilbend/config/quantity.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace chervilbend::config
{

namespace
{

constexpr base::byte_count minModelSize{std::int64_t{1} << 20};
constexpr base::byte_count maxModelSize{std::int64_t{16} << 40};
constexpr base::byte_count maxAdapterSize{std::int64_t{64} << 30};
constexpr base::milliseconds minDeadline{10};
constexpr base::milliseconds maxDeadline{3'600'000};
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxPrefixLength = 200;
constexpr std::size_t maxEntries = 1'000;
constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

std::string indexedPath(std::string_view list, std::size_t index)
{
    return std::string(list) + '[' + std::to_string(index) + ']';
}

/// '@' and '/' separate the parts of item ids, so names must not contain them.
bool isName(const std::string &name)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    return !name.empty() && name.size() <= maxNameLength && name.front() != '.' && name.front() != '-' && std::ranges::all_of(name, isAllowed);
}

/// Checks one declaration and collects its faults.
class declaration_checker
{
public:
    explicit declaration_checker(const service_declaration &declaration)
        : m_declaration(declaration)
    {
    }

    std::vector<declaration_fault> run()
    {
        checkName("service", m_declaration.service.value());
        checkCount("models", m_declaration.models.size());
        checkCount("routes", m_declaration.routes.size());
        for (std::size_t i = 0; i < m_declaration.models.size(); ++i) {
            checkModel(indexedPath("models", i), m_declaration.models[i]);
        }
        for (std::size_t i = 0; i < m_declaration.routes.size(); ++i) {
            checkRoute(indexedPath("routes", i), m_declaration.routes[i]);
        }
        checkPolicy();
        return std::move(m_faults);
    }

private:
    void add(std::string path, std::string text)
    {
        m_faults.push_back({m_declaration.service, std::move(path), std::move(text)});
    }

    void checkName(const std::string &path, const std::string &name)
    {
        if (!isName(name)) {
            add(path, '"' + name + "\" is not a name: 1 to 64 letters, digits, '.', '_' or '-', starting with none of '.' and '-'");
        }
    }

    void checkCount(const std::string &path, std::size_t count)
    {
        if (count > maxEntries) {
            add(path, "more than " + std::to_string(maxEntries) + " entries");
        }
    }

    void checkBytes(const std::string &path, base::byte_count bytes, base::byte_count minimum, base::byte_count maximum)
    {
        if (bytes < minimum || bytes > maximum) {
            add(path, formatBytes(bytes) + " is out of range, " + formatBytes(minimum) + " to " + formatBytes(maximum));
        }
    }

    void checkNumber(const std::string &path, int number, int minimum, int maximum)
    {
        if (number < minimum || number > maximum) {
            add(path, std::to_string(number) + " is out of range, " + std::to_string(minimum) + " to " + std::to_string(maximum));
        }
    }

    void checkDeadline(const std::string &path, base::milliseconds deadline)
    {
        if (deadline < minDeadline || deadline > maxDeadline) {
            add(path, formatDuration(deadline) + " is out of range, " + formatDuration(minDeadline) + " to " + formatDuration(maxDeadline));
        }
    }

    void checkModel(const std::string &path, const model_declaration &model)
    {
        checkName(path + ".name", model.name);
        checkName(path + ".version", model.version);
        checkBytes(path + ".weights", model.weights, minModelSize, maxModelSize);
        checkBytes(path + ".kvReserve", model.kvReserve, base::byte_count(0), maxModelSize);
        checkNumber(path + ".copies", model.copies, 1, 16);
        checkNumber(path + ".importance", model.importance, 1, 100);
        checkCount(path + ".adapters", model.adapters.size());
        if (!m_models.insert(model.name).second) {
            add(path + ".name", "model \"" + model.name + "\" is declared twice");
        }
        std::set<std::string> adapters;
        for (std::size_t i = 0; i < model.adapters.size(); ++i) {
            const adapter_declaration &adapter = model.adapters[i];
            const std::string adapterPath = path + '.' + indexedPath("adapters", i);
            checkName(adapterPath + ".name", adapter.name);
            checkName(adapterPath + ".version", adapter.version);
            checkBytes(adapterPath + ".size", adapter.bytes, base::byte_count(1), maxAdapterSize);
            if (!adapters.insert(adapter.name).second) {
                add(adapterPath + ".name", "adapter \"" + adapter.name + "\" of model \"" + model.name + "\" is declared twice");
            }
        }
    }

    void checkRoute(const std::string &path, const route_declaration &route)
    {
        const auto isPathCharacter = [](char c) {
            return c > ' ' && c < '\x7f' && c != '?' && c != '#' && c != '"' && c != '\\';
        };
        if (!route.prefix.starts_with('/')) {
            add(path + ".prefix", '"' + route.prefix + "\" does not start with '/'");
        } else if (route.prefix.size() > maxPrefixLength || !std::ranges::all_of(route.prefix, isPathCharacter)) {
            add(path + ".prefix", "is not a path: at most 200 characters, without spaces, '?', '#', '\"' and '\\'");
        }
        if (!route.method.empty() && std::ranges::find(methods, route.method) == methods.end()) {
            add(path + ".method", '"' + route.method + "\" is none of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
        }
        checkDeadline(path + ".deadline", route.deadline);
        checkRepeatable(path, route);
        if (!m_routes.insert({route.prefix, route.method}).second) {
            add(path + ".prefix", "route \"" + route.prefix + "\" is declared twice for " + (route.method.empty() ? "all methods" : route.method));
        }
    }

    void checkRepeatable(const std::string &path, const route_declaration &route)
    {
        if (route.repeatable) {
            if (!route.idempotencyField.empty()) {
                add(path + ".idempotencyField", "has no effect on a route that is repeatable; add \"repeatable: false\"");
            }
            return;
        }
        // RFC 9110 section 9.2.1: safe methods may be repeated by any intermediary, so at-most-once execution cannot be guaranteed for them.
        if (route.method.empty() || route.method == "GET" || route.method == "HEAD" || route.method == "OPTIONS") {
            add(path + ".repeatable", "a route that may not be repeated names a method that changes state: POST, PUT, PATCH or DELETE");
        }
        if (route.idempotencyField.size() > maxNameLength) {
            add(path + ".idempotencyField", "is longer than 64 characters");
        }
    }

    void checkPolicy()
    {
        checkDeadline("policy.deadline", m_declaration.policy.deadline);
        if (m_declaration.policy.defaultUrgency < m_declaration.policy.highestUrgency) {
            add("policy.defaultUrgency", "is more urgent than highestUrgency");
        }
    }

    const service_declaration &m_declaration;
    std::vector<declaration_fault> m_faults;
    std::set<std::string> m_models;
    std::set<std::pair<std::string, std::string>> m_routes;
};

} // namespace

std::vector<declaration_fault> checkDeclaration(const service_declaration &declaration)
{
    return declaration_checker(declaration).run();
}

std::vector<declaration_fault> checkConflicts(std::span<const service_declaration> declarations)
{
    std::vector<declaration_fault> faults;
    std::map<std::string, base::service_id> models;
    std::map<std::pair<std::string, std::string>, base::service_id> routes;
    for (const service_declaration &declaration : declarations) {
        for (std::size_t i = 0; i < declaration.models.size(); ++i) {
            const std::string &name = declaration.models[i].name;
            const auto [first, isNew] = models.emplace(name, declaration.service);
            if (!isNew && first->second != declaration.service) {
                faults.push_back({declaration.service,
                                  indexedPath("models", i) + ".name",
                                  "model \"" + name + "\" is already declared by service \"" + first->second.value() + '"'});
            }
        }
        for (std::size_t i = 0; i < declaration.routes.size(); ++i) {
            const route_declaration &route = declaration.routes[i];
            const auto [first, isNew] = routes.emplace(std::pair(route.prefix, route.method), declaration.service);
            if (!isNew && first->second != declaration.service) {
                faults.push_back({declaration.service,
                                  indexedPath("routes", i) + ".prefix",
                                  "route \"" + route.prefix + "\" is already declared by service \"" + first->second.value() + '"'});
            }
        }
    }
    return faults;
}

} // namespace chervilbend::config
