#pragma once

#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/residency_view.hpp>

namespace chervilbend::fleet
{

/// What engines hold by their own registrations.
class registered_residency : public residency_view
{
public:
    explicit registered_residency(const endpoint_registry &registry)
        : m_registry(registry)
    {
    }

    std::vector<resident_model> modelsAt(const base::endpoint_id &endpoint) const override
    {
        const auto known = m_registry.endpoints().find(endpoint);
        return known == m_registry.endpoints().end() ? std::vector<resident_model>() : known->second.entry.models;
    }

private:
    const endpoint_registry &m_registry;
};

} // namespace chervilbend::fleet
