#include <chervilbend/config/declaration_diff.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/config/work_class_name.hpp>

#include <map>
#include <utility>

namespace chervilbend::config
{

namespace
{

/// The members of one part of a declaration, as text by name.
using members = std::map<std::string, std::string>;
/// The parts of a declaration by a unique name, such as "model NAME".
using parts = std::map<std::string, members>;

void addModel(parts &all, const model_declaration &model)
{
    all["model " + model.name] = {
        {"version", model.version},
        {"weights", formatBytes(model.weights)},
        {"kvReserve", formatBytes(model.kvReserve)},
        {"copies", std::to_string(model.copies)},
        {"importance", std::to_string(model.importance)},
    };
    for (const adapter_declaration &adapter : model.adapters) {
        all["adapter " + model.name + '/' + adapter.name] = {
            {"version", adapter.version},
            {"size", formatBytes(adapter.bytes)},
        };
    }
}

void addRoute(parts &all, const route_declaration &route)
{
    all["route " + (route.method.empty() ? std::string("any method") : route.method) + ' ' + route.prefix] = {
        {"repeatable", route.repeatable ? "true" : "false"},
        {"idempotencyField", route.idempotencyField.empty() ? "none" : route.idempotencyField},
        {"urgency", std::string(nameOf(route.urgency))},
        {"deadline", formatDuration(route.deadline)},
    };
}

parts flatten(const service_declaration &declaration)
{
    parts all;
    for (const model_declaration &model : declaration.models) {
        addModel(all, model);
    }
    for (const route_declaration &route : declaration.routes) {
        addRoute(all, route);
    }
    all["policy"] = {
        {"highestUrgency", std::string(nameOf(declaration.policy.highestUrgency))},
        {"defaultUrgency", std::string(nameOf(declaration.policy.defaultUrgency))},
        {"deadline", formatDuration(declaration.policy.deadline)},
    };
    return all;
}

std::string describe(const members &values)
{
    std::string text;
    for (const auto &[name, value] : values) {
        text += concat({text.empty() ? "" : ", ", name, " ", value});
    }
    return text;
}

std::string changes(const members &before, const members &after)
{
    std::string text;
    for (const auto &[name, value] : after) {
        const std::string &previous = before.at(name);
        if (previous != value) {
            text += concat({text.empty() ? "" : ", ", name, " ", previous, " -> ", value});
        }
    }
    return text;
}

} // namespace

std::vector<std::string> diffLines(const service_declaration &before, const service_declaration &after)
{
    const parts previous = flatten(before);
    const parts current = flatten(after);
    std::vector<std::string> lines;
    for (const auto &[name, values] : previous) {
        if (!current.contains(name)) {
            lines.push_back("- " + name);
        }
    }
    for (const auto &[name, values] : current) {
        const auto earlier = previous.find(name);
        if (earlier == previous.end()) {
            lines.push_back(concat({"+ ", name, ": ", describe(values)}));
        } else if (const std::string text = changes(earlier->second, values); !text.empty()) {
            lines.push_back(concat({"~ ", name, ": ", text}));
        }
    }
    return lines;
}

} // namespace chervilbend::config
