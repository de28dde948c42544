#include <chervilbend/fleet/usage_meter.hpp>

#include <chervilbend/fleet/pool_name.hpp>

namespace chervilbend::fleet
{

usage_meter::registration::registration(usage_meter &meter, const wanted_item &item)
    : m_open(meter.m_open)
    , m_model(poolName(item.service, item.model, {}))
{
    ++(*m_open)[m_model];
    if (!item.adapter.empty()) {
        meter.m_used.insert(poolName(item.service, item.model, item.adapter));
    }
}

usage_meter::registration::~registration()
{
    const auto count = m_open->find(m_model);
    if (--count->second == 0) {
        m_open->erase(count);
    }
}

std::vector<std::string> usage_meter::takeUsed()
{
    std::vector<std::string> used(m_used.begin(), m_used.end());
    m_used.clear();
    return used;
}

} // namespace chervilbend::fleet
