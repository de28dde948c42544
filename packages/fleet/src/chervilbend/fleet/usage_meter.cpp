#include <chervilbend/fleet/usage_meter.hpp>

#include <chervilbend/fleet/pool_name.hpp>

namespace chervilbend::fleet
{

usage_meter::registration::registration(usage_meter &meter, const requested_item &item)
    : m_open(meter.m_open)
    , m_model(poolName(item.service, item.model, {}))
    , m_adapter(item.adapter.empty() ? std::string() : poolName(item.service, item.model, item.adapter))
{
    ++(*m_open)[m_model];
    if (!m_adapter.empty()) {
        ++(*m_open)[m_adapter];
        meter.m_used.insert(m_adapter);
    }
}

void usage_meter::registration::end(const std::string &pool)
{
    const auto count = m_open->find(pool);
    if (count != m_open->end() && --count->second == 0) {
        m_open->erase(count);
    }
}

usage_meter::registration::~registration()
{
    end(m_model);
    end(m_adapter);
}

std::vector<std::string> usage_meter::takeUsed()
{
    std::vector<std::string> used(m_used.begin(), m_used.end());
    m_used.clear();
    return used;
}

} // namespace chervilbend::fleet
