#include <chervilbend/config/service_files.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/declaration_check.hpp>
#include <chervilbend/config/internal/map_reader.hpp>
#include <chervilbend/config/yaml_reader.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <tuple>

namespace chervilbend::config
{

void service_files::add(const std::string &file, const std::string &text)
{
    ++m_files;
    yaml_reader reader(file);
    const std::optional<yaml_node> node = reader.read(text);
    std::ranges::copy(reader.faults(), std::back_inserter(m_faults));
    if (!node) {
        return;
    }
    if (node->kind != yaml_kind::map) {
        m_faults.push_back({file, node->line, {}, "is not a map of keys and values"});
        return;
    }

    std::string service;
    if (const yaml_node *name = node->find("service"); name && name->kind == yaml_kind::scalar) {
        service = name->text;
    }
    draft &target = m_drafts[base::service_id(service)];
    target.declaration.service = base::service_id(service);

    map_reader root(*node, {}, {}, {file, m_faults, target.locations});
    root.text("service", service, true);
    readModels(root, target);
    readTopLevelAdapters(root, target.declaration.service);
    readRoutes(root, target);
    readPolicy(root, target);
    root.flag("withdrawn", target.withdrawn);
    root.finish();
    if (service.empty()) {
        // The declarations of a file without a service belong to no service and would only cause consequential faults.
        m_drafts.erase(base::service_id());
        std::erase_if(m_topLevelAdapters, [](const top_level_adapter &entry) { return entry.service.empty(); });
    }
}

void service_files::readModels(map_reader &root, draft &target)
{
    for (map_reader &reader : root.maps("models", target.declaration.models.size())) {
        model_declaration model;
        reader.text("name", model.name, true);
        reader.text("version", model.version, true);
        reader.bytes("weights", model.weights, true);
        reader.bytes("kvReserve", model.kvReserve, true);
        reader.integer("copies", model.copies);
        reader.integer("importance", model.importance);
        readAdapters(reader, model);
        reader.finish();
        target.declaration.models.push_back(std::move(model));
    }
}

void service_files::readAdapters(map_reader &model, model_declaration &target)
{
    for (map_reader &reader : model.maps("adapters", 0)) {
        adapter_declaration adapter;
        reader.text("name", adapter.name, true);
        reader.text("version", adapter.version, true);
        reader.bytes("size", adapter.bytes, true);
        reader.finish();
        target.adapters.push_back(std::move(adapter));
    }
}

void service_files::readTopLevelAdapters(map_reader &root, const base::service_id &service)
{
    for (map_reader &listed : root.maps("adapters", 0)) {
        top_level_adapter entry;
        entry.service = service;
        entry.location = listed.location();
        const map_reader_output &output = listed.output();
        const yaml_node &node = listed.node();
        map_reader reader(node, entry.location.key, {}, {output.file, output.faults, entry.locations});
        reader.text("model", entry.model, true);
        reader.text("name", entry.adapter.name, true);
        reader.text("version", entry.adapter.version, true);
        reader.bytes("size", entry.adapter.bytes, true);
        reader.finish();
        m_topLevelAdapters.push_back(std::move(entry));
    }
}

void service_files::readRoutes(map_reader &root, draft &target)
{
    for (map_reader &reader : root.maps("routes", target.declaration.routes.size())) {
        route_declaration route;
        reader.text("prefix", route.prefix, true);
        reader.text("method", route.method);
        reader.flag("repeatable", route.repeatable);
        reader.text("idempotencyField", route.idempotencyField);
        reader.urgency("urgency", route.urgency);
        reader.duration("deadline", route.deadline);
        reader.finish();
        target.declaration.routes.push_back(std::move(route));
    }
}

void service_files::readPolicy(map_reader &root, draft &target)
{
    const auto earlier = target.locations.find("policy");
    const source_location earlierLocation = earlier == target.locations.end() ? source_location() : earlier->second;
    for (map_reader &reader : root.map("policy")) {
        if (target.hasPolicy) {
            reader.addFault(reader.line(),
                            "policy",
                            "service \"" + target.declaration.service.value() + "\" already has a policy in " + earlierLocation.file + ':'
                                + std::to_string(earlierLocation.line));
            target.locations["policy"] = earlierLocation;
            continue;
        }
        target.hasPolicy = true;
        model_policy &policy = target.declaration.policy;
        reader.urgency("highestUrgency", policy.highestUrgency);
        reader.urgency("defaultUrgency", policy.defaultUrgency);
        reader.duration("deadline", policy.deadline);
        reader.finish();
    }
}

service_set service_files::finish()
{
    attachTopLevelAdapters();
    m_readFaults = m_faults.size();
    checkDrafts();
    service_set set;
    set.files = m_files;
    for (auto &[service, target] : m_drafts) {
        set.declarations.push_back(target.declaration);
    }
    for (const declaration_fault &found : checkConflicts(set.declarations)) {
        addFault(found.service, found.path, found.text);
    }
    std::ranges::sort(m_faults, {}, [](const fault &item) { return std::tie(item.file, item.line, item.key, item.text); });
    m_faults.erase(std::unique(m_faults.begin(), m_faults.end()), m_faults.end());
    set.faults = std::move(m_faults);
    return set;
}

void service_files::attachTopLevelAdapters()
{
    for (top_level_adapter &entry : m_topLevelAdapters) {
        draft &target = m_drafts[entry.service];
        std::vector<model_declaration> &models = target.declaration.models;
        const auto model = std::ranges::find(models, entry.model, &model_declaration::name);
        if (model == models.end()) {
            if (!entry.model.empty()) {
                const source_location &location = entry.locations["model"];
                m_faults.push_back(
                    {location.file, location.line, location.key, "service \"" + entry.service.value() + "\" declares no model \"" + entry.model + '"'});
            }
            continue;
        }
        const std::string path = "models[" + std::to_string(model - models.begin()) + "].adapters[" + std::to_string(model->adapters.size()) + ']';
        target.locations[path] = entry.location;
        for (const auto &[key, location] : entry.locations) {
            target.locations[concat({path, ".", key})] = location;
        }
        model->adapters.push_back(std::move(entry.adapter));
    }
}

void service_files::checkDrafts()
{
    for (const auto &[service, target] : m_drafts) {
        const bool isEmpty = target.declaration.models.empty() && target.declaration.routes.empty();
        if (isEmpty && !target.withdrawn) {
            addFault(service, {}, "declares neither models nor routes; to withdraw the service, write \"withdrawn: true\"");
        }
        if (!isEmpty && target.withdrawn) {
            addFault(service, "withdrawn", "a service that is withdrawn declares neither models nor routes");
        }
        for (const declaration_fault &found : checkDeclaration(target.declaration)) {
            addFault(service, found.path, found.text);
        }
    }
}

void service_files::addFault(const base::service_id &service, const std::string &path, const std::string &text)
{
    const std::map<std::string, source_location> &locations = m_drafts[service].locations;
    // A member without a location has its default value; the closest location is that of its parent.
    std::string known = path;
    while (!known.empty() && !locations.contains(known)) {
        const std::size_t end = known.rfind('.');
        known = end == std::string::npos ? std::string() : known.substr(0, end);
    }
    const source_location &location = locations.at(known);
    // The reader has already added a fault if a value is missing or could not be read.
    const bool isReported = std::any_of(m_faults.begin(), m_faults.begin() + static_cast<std::ptrdiff_t>(m_readFaults), [&](const fault &item) {
        return item.file == location.file && item.line == location.line && !item.key.empty() && (item.key == location.key || known != path);
    });
    if (!isReported) {
        m_faults.push_back({location.file, location.line, location.key + path.substr(known.size()), text});
    }
}

} // namespace chervilbend::config
