#include <chervilbend/state/internal/configuration_table.hpp>

#include <chervilbend/config/declaration_json.hpp>

#include <algorithm>

namespace json = boost::json;

namespace chervilbend::state
{

bool configuration_table::isBaseCurrent(const publish_entry &publish) const
{
    const auto &service = publish.declaration.service;
    if (const auto current = m_services.find(service); current != m_services.end()) {
        return publish.base == current->second.version;
    }
    const auto withdrawn = m_withdrawn.find(service);
    return publish.base == base::log_offset(0) || (withdrawn != m_withdrawn.end() && publish.base == withdrawn->second);
}

bool configuration_table::apply(const publish_entry &publish, const record_context &context)
{
    if (publish.publishId.empty() || findPublish(publish.publishId)) {
        return false;
    }
    const config::service_declaration &declaration = publish.declaration;
    const bool accepted = isBaseCurrent(publish);
    m_publishes.push_back({publish.publishId, declaration.service, publish.author, publish.base, context.offset, accepted});
    if (m_publishes.size() > maxPublishes) {
        m_publishes.pop_front();
    }
    if (!accepted) {
        return false;
    }
    if (declaration.models.empty() && declaration.routes.empty()) {
        m_services.erase(declaration.service);
        m_withdrawn[declaration.service] = context.offset;
    } else {
        m_withdrawn.erase(declaration.service);
        m_services[declaration.service] = {declaration, context.offset, publish.publishId, publish.author};
    }
    collectDeclaredItems();
    return true;
}

void configuration_table::collectDeclaredItems()
{
    m_declared.clear();
    for (const auto &[id, service] : m_services) {
        for (const config::model_declaration &model : service.declaration.models) {
            m_declared.insert(config::itemOf(model));
            for (const config::adapter_declaration &adapter : model.adapters) {
                m_declared.insert(config::itemOf(model, adapter));
            }
        }
    }
}

const std::map<base::service_id, service_view> &configuration_table::services() const
{
    return m_services;
}

const std::deque<publish_view> &configuration_table::publishes() const
{
    return m_publishes;
}

const publish_view *configuration_table::findPublish(const std::string &publishId) const
{
    const auto found = std::find_if(m_publishes.begin(), m_publishes.end(), [&](const publish_view &each) { return each.publishId == publishId; });
    return found == m_publishes.end() ? nullptr : &*found;
}

bool configuration_table::isDeclared(const base::item_id &item) const
{
    return m_declared.contains(item);
}

json::object configuration_table::toJson() const
{
    json::array services;
    for (const auto &[id, service] : m_services) {
        services.emplace_back(json::object{
            {"declaration", config::toJson(service.declaration)}, {"version", service.version.count()}, {"id", service.publishId}, {"author", service.author}});
    }
    json::array withdrawn;
    for (const auto &[id, offset] : m_withdrawn) {
        withdrawn.emplace_back(json::object{{"service", id.value()}, {"offset", offset.count()}});
    }
    json::array publishes;
    for (const publish_view &each : m_publishes) {
        publishes.emplace_back(json::object{{"id", each.publishId},
                                            {"service", each.service.value()},
                                            {"author", each.author},
                                            {"base", each.base.count()},
                                            {"record", each.record.count()},
                                            {"accepted", each.accepted}});
    }
    return {{"services", std::move(services)}, {"withdrawn", std::move(withdrawn)}, {"publishes", std::move(publishes)}};
}

void configuration_table::restore(field_reader &fields)
{
    bool ok = true;
    for (const json::value &each : fields.array("services")) {
        field_reader item(each);
        service_view service;
        config::declaration_reader reader;
        const json::value *declaration = item.value("declaration");
        auto parsed = declaration ? reader.read(*declaration) : std::nullopt;
        item.read("version", service.version);
        item.read("id", service.publishId);
        item.read("author", service.author);
        ok = ok && parsed && item.isOk();
        if (parsed) {
            service.declaration = std::move(*parsed);
            m_services[service.declaration.service] = std::move(service);
        }
    }
    for (const json::value &each : fields.array("withdrawn")) {
        field_reader item(each);
        base::service_id service;
        item.read("service", service);
        item.read("offset", m_withdrawn[service]);
        ok = ok && item.isOk();
    }
    for (const json::value &each : fields.array("publishes")) {
        field_reader item(each);
        publish_view publish;
        item.read("id", publish.publishId);
        item.read("service", publish.service);
        item.read("author", publish.author);
        item.read("base", publish.base);
        item.read("record", publish.record);
        item.read("accepted", publish.accepted);
        ok = ok && item.isOk();
        m_publishes.push_back(std::move(publish));
    }
    if (!ok) {
        fields.fail();
    }
    collectDeclaredItems();
}

} // namespace chervilbend::state
