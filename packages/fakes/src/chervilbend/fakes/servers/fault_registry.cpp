#include <chervilbend/fakes/servers/fault_registry.hpp>

#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace json = boost::json;

namespace chervilbend::fakes
{

namespace
{

constexpr std::int64_t maxTimeMs = 3'600'000;
constexpr double minFactor = 0.001;
constexpr double maxFactor = 1'000;

double numberOf(const json::value &value)
{
    return value.is_int64() ? static_cast<double>(value.get_int64()) : value.is_double() ? value.get_double() : NAN;
}

} // namespace

void fault_registry::addFlag(const std::string &name, bool &variable)
{
    const auto isValid = [](const json::value &value) {
        return value.is_bool();
    };
    const auto set = [&variable](const json::value &value) {
        variable = value.get_bool();
    };
    m_faults.push_back({name, isValid, set, [&variable] {
                            return json::value(variable);
                        }});
}

void fault_registry::addShare(const std::string &name, double &variable)
{
    addNumber(name, variable, 0, 1);
}

void fault_registry::addFactor(const std::string &name, double &variable)
{
    addNumber(name, variable, minFactor, maxFactor);
}

void fault_registry::addTime(const std::string &name, base::milliseconds &variable)
{
    const auto isValid = [](const json::value &value) {
        return value.is_int64() && value.get_int64() >= 0 && value.get_int64() <= maxTimeMs;
    };
    const auto set = [&variable](const json::value &value) {
        variable = base::milliseconds(value.get_int64());
    };
    m_faults.push_back({name, isValid, set, [&variable] {
                            return json::value(variable.count());
                        }});
}

void fault_registry::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

std::string fault_registry::apply(const json::object &requested)
{
    std::vector<std::pair<const fault *, const json::value *>> changes;
    for (const auto &[key, value] : requested) {
        const std::string name(key.data(), key.size());
        const auto found = std::find_if(m_faults.begin(), m_faults.end(), [&name](const fault &entry) { return entry.name == name; });
        if (found == m_faults.end()) {
            return "unknown fault \"" + name + '"';
        }
        if (!found->isValid(value)) {
            return "the value of \"" + name + "\" is of the wrong type or out of range";
        }
        changes.emplace_back(&*found, &value);
    }
    for (const auto &[change, value] : changes) {
        change->set(*value);
    }
    if (m_listener) {
        m_listener();
    }
    return {};
}

json::object fault_registry::currentValues() const
{
    json::object values;
    for (const fault &entry : m_faults) {
        values[entry.name] = entry.get();
    }
    return values;
}

void fault_registry::addNumber(const std::string &name, double &variable, double low, double high)
{
    const auto isValid = [low, high](const json::value &value) {
        return numberOf(value) >= low && numberOf(value) <= high;
    };
    const auto set = [&variable](const json::value &value) {
        variable = numberOf(value);
    };
    m_faults.push_back({name, isValid, set, [&variable] {
                            return json::value(variable);
                        }});
}

} // namespace chervilbend::fakes
