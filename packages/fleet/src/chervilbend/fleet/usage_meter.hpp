#pragma once

#include <chervilbend/fleet/engine_update.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// Counts this node's open requests per model and adapter, and records which adapters were requested.
class usage_meter
{
public:
    /// Counts one request for as long as this object exists.
    class registration
    {
    public:
        registration(usage_meter &meter, const requested_item &item);
        ~registration();
        registration(const registration &) = delete;
        registration &operator=(const registration &) = delete;

    private:
        void end(const std::string &pool);

        std::shared_ptr<std::map<std::string, int>> m_open;
        std::string m_model;
        std::string m_adapter;
    };

    /// Open requests by "SERVICE/MODEL" and "SERVICE/MODEL/ADAPTER".
    const std::map<std::string, int> &open() const
    {
        return *m_open;
    }

    /// The adapters that were requested since the last call, as "SERVICE/MODEL/ADAPTER".
    std::vector<std::string> takeUsed();

private:
    /// Shared with the registrations, since the event loop may destroy the last tasks after this object.
    std::shared_ptr<std::map<std::string, int>> m_open = std::make_shared<std::map<std::string, int>>();
    std::set<std::string> m_used;
};

} // namespace chervilbend::fleet
