#pragma once

#include <chervilbend/base/clock.hpp>

#include <deque>
#include <utility>

namespace chervilbend::fakes
{

/// The recent versions of a value, for fakes that respond with a lag.
template<typename Value>
class lagged_history
{
public:
    /// Records the value that is valid from @p when on; times must not decrease.
    void record(base::time_point when, Value value)
    {
        m_versions.emplace_back(when, std::move(value));
    }

    /// The value at @p when, or the oldest one. Discards earlier versions, so times must not decrease between calls.
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

    void clear()
    {
        m_versions.clear();
    }

private:
    std::deque<std::pair<base::time_point, Value>> m_versions;
};

} // namespace chervilbend::fakes
