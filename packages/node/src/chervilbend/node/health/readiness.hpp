#pragma once

#include <set>
#include <string>

namespace chervilbend::node
{

/// Whether the load balancer should send callers to this node. The node is ready if no condition is missing and no shutdown has begun.
class readiness
{
public:
    /// @p condition is a short name that the response to a readiness probe lists, for example "configuration".
    void setMissing(const std::string &condition)
    {
        m_missing.insert(condition);
    }

    void setMet(const std::string &condition)
    {
        m_missing.erase(condition);
    }

    /// Irreversible.
    void startShutdown()
    {
        m_shuttingDown = true;
    }

    bool isShuttingDown() const
    {
        return m_shuttingDown;
    }

    bool isReady() const
    {
        return m_missing.empty() && !m_shuttingDown;
    }

    const std::set<std::string> &missing() const
    {
        return m_missing;
    }

    /// The missing conditions in alphabetical order, separated by commas.
    std::string missingText() const
    {
        std::string text;
        for (const std::string &condition : m_missing) {
            text.append(text.empty() ? "" : ", ").append(condition);
        }
        return text;
    }

private:
    std::set<std::string> m_missing;
    bool m_shuttingDown = false;
};

} // namespace chervilbend::node
