#include <chervilbend/config/declaration_json.hpp>

#include <chervilbend/config/work_class_name.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <limits>
#include <string>
#include <string_view>

namespace chervilbend::config
{

namespace json = boost::json;

namespace
{

json::object adapterJson(const adapter_declaration &adapter)
{
    json::object object;
    object["name"] = adapter.name;
    object["version"] = adapter.version;
    object["bytes"] = adapter.bytes.count();
    return object;
}

json::object modelJson(const model_declaration &model)
{
    json::object object;
    object["name"] = model.name;
    object["version"] = model.version;
    object["weights"] = model.weights.count();
    object["kvReserve"] = model.kvReserve.count();
    object["copies"] = model.copies;
    object["importance"] = model.importance;
    json::array adapters;
    for (const adapter_declaration &adapter : model.adapters) {
        adapters.push_back(adapterJson(adapter));
    }
    object["adapters"] = std::move(adapters);
    return object;
}

json::object routeJson(const route_declaration &route)
{
    json::object object;
    object["prefix"] = route.prefix;
    object["method"] = route.method;
    object["repeatable"] = route.repeatable;
    object["idempotencyField"] = route.idempotencyField;
    object["urgency"] = nameOf(route.urgency);
    object["deadline"] = route.deadline.count();
    return object;
}

json::object policyJson(const model_policy &policy)
{
    json::object object;
    object["highestUrgency"] = nameOf(policy.highestUrgency);
    object["defaultUrgency"] = nameOf(policy.defaultUrgency);
    object["deadline"] = policy.deadline.count();
    return object;
}

/// Reads members of one JSON object. An absent member leaves the target unchanged; a value that is not an object and a member of a wrong type
/// are reported in the problem text.
class member_reader
{
public:
    member_reader(const json::value &value, std::string &problem)
        : m_object(value.if_object())
        , m_problem(problem)
    {
        if (!m_object) {
            m_problem = "a part of the declaration is not an object";
        }
    }

    void text(std::string_view key, std::string &target)
    {
        if (const json::value *value = find(key)) {
            const json::string *text = value->if_string();
            text ? void(target = text->c_str()) : wrongType(key);
        }
    }

    void flag(std::string_view key, bool &target)
    {
        if (const json::value *value = find(key)) {
            const bool *flag = value->if_bool();
            flag ? void(target = *flag) : wrongType(key);
        }
    }

    void number(std::string_view key, std::int64_t &target)
    {
        if (const json::value *value = find(key)) {
            const std::int64_t *number = value->if_int64();
            number ? void(target = *number) : wrongType(key);
        }
    }

    void integer(std::string_view key, int &target)
    {
        std::int64_t wide = target;
        number(key, wide);
        if (wide < std::numeric_limits<int>::min() || wide > std::numeric_limits<int>::max()) {
            wrongType(key);
            return;
        }
        target = static_cast<int>(wide);
    }

    void bytes(std::string_view key, base::byte_count &target)
    {
        std::int64_t count = target.count();
        number(key, count);
        target = base::byte_count(count);
    }

    void duration(std::string_view key, base::milliseconds &target)
    {
        std::int64_t count = target.count();
        number(key, count);
        target = base::milliseconds(count);
    }

    void urgency(std::string_view key, base::work_class &target)
    {
        std::string name(nameOf(target));
        text(key, name);
        const auto urgency = parseWorkClass(name);
        urgency ? void(target = *urgency) : wrongType(key);
    }

    const json::value *find(std::string_view key)
    {
        return m_object ? m_object->if_contains(key) : nullptr;
    }

    json::array list(std::string_view key)
    {
        const json::value *value = find(key);
        if (value && !value->is_array()) {
            wrongType(key);
        }
        return value && value->is_array() ? value->get_array() : json::array();
    }

private:
    void wrongType(std::string_view key)
    {
        m_problem = "the declaration's member \"" + std::string(key) + "\" has a wrong type or value";
    }

    const json::object *m_object;
    std::string &m_problem;
};

adapter_declaration readAdapter(const json::value &value, std::string &problem)
{
    adapter_declaration adapter;
    member_reader reader(value, problem);
    reader.text("name", adapter.name);
    reader.text("version", adapter.version);
    reader.bytes("bytes", adapter.bytes);
    return adapter;
}

model_declaration readModel(const json::value &value, std::string &problem)
{
    model_declaration model;
    member_reader reader(value, problem);
    reader.text("name", model.name);
    reader.text("version", model.version);
    reader.bytes("weights", model.weights);
    reader.bytes("kvReserve", model.kvReserve);
    reader.integer("copies", model.copies);
    reader.integer("importance", model.importance);
    for (const json::value &adapter : reader.list("adapters")) {
        model.adapters.push_back(readAdapter(adapter, problem));
    }
    return model;
}

route_declaration readRoute(const json::value &value, std::string &problem)
{
    route_declaration route;
    member_reader reader(value, problem);
    reader.text("prefix", route.prefix);
    reader.text("method", route.method);
    reader.flag("repeatable", route.repeatable);
    reader.text("idempotencyField", route.idempotencyField);
    reader.urgency("urgency", route.urgency);
    reader.duration("deadline", route.deadline);
    return route;
}

model_policy readPolicy(const json::value &value, std::string &problem)
{
    model_policy policy;
    member_reader reader(value, problem);
    reader.urgency("highestUrgency", policy.highestUrgency);
    reader.urgency("defaultUrgency", policy.defaultUrgency);
    reader.duration("deadline", policy.deadline);
    return policy;
}

} // namespace

json::value toJson(const service_declaration &declaration)
{
    json::object object;
    object["service"] = declaration.service.value();
    json::array models;
    for (const model_declaration &model : declaration.models) {
        models.push_back(modelJson(model));
    }
    object["models"] = std::move(models);
    json::array routes;
    for (const route_declaration &route : declaration.routes) {
        routes.push_back(routeJson(route));
    }
    object["routes"] = std::move(routes);
    object["policy"] = policyJson(declaration.policy);
    return object;
}

std::optional<service_declaration> declaration_reader::read(const json::value &json)
{
    std::string problem;
    service_declaration declaration;
    member_reader reader(json, problem);
    std::string service;
    reader.text("service", service);
    declaration.service = base::service_id(service);
    for (const json::value &model : reader.list("models")) {
        declaration.models.push_back(readModel(model, problem));
    }
    for (const json::value &route : reader.list("routes")) {
        declaration.routes.push_back(readRoute(route, problem));
    }
    if (const json::value *policy = reader.find("policy")) {
        declaration.policy = readPolicy(*policy, problem);
    }
    if (service.empty() && problem.empty()) {
        problem = "the declaration does not name a service";
    }
    if (!problem.empty()) {
        return fail(base::error_kind::configInvalid, problem);
    }
    return declaration;
}

} // namespace chervilbend::config
