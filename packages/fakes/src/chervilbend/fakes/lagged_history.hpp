#pragma once

#include <chervilbend/base/clock.hpp>

#include <deque>
#include <utility>

namespace chervilbend::fakes
{

/// A value as it was at earlier moments, for fakes that answer with a lag.
template<typename Value>
class lagged_history
{
public:
    /// The value from @p when on; times must not decrease.
    void record(base::time_point when, Value value)
    {
        m_versions.emplace_back(when, std::move(value));
    }

    /// The value at @p when, or the oldest one. Forgets the versions before it, so later calls must not ask further back.
    const Value &at(base::time_point when)
    {
        while (m_versions.size() > 1 && m_versions[1].first <= when) {
            m_versions.pop_front();
        }
        return m_versions.front().second;
    }

    const Value &newest() const
    {
        return m_versions.back().second;
    }

    bool empty() const
    {
        return m_versions.empty();
    }

    /// Forgets all versions.
    void clear()
    {
        m_versions.clear();
    }

private:
    std::deque<std::pair<base::time_point, Value>> m_versions;
};

} // namespace chervilbend::fakes
