#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::fleet
{

/// Chooses how often the nodes report to the holder of the command lease, so that their reports leave its event loop time for its own reads of the
/// store and its callers: less often while handlers wait long for their turn, and more often again while they do not.
/// The same measurements tell whether answers may contain updates, which cost more than the rest of an answer.
class report_pacer
{
public:
    static constexpr base::milliseconds shortestInterval{250};
    /// Nodes that report less often would count as gone.
    static constexpr base::milliseconds longestInterval{1'000};

    /// To be called with each measurement of the event loop's lateness.
    void measure(base::milliseconds loopLag);

    /// Time between two reports of a node.
    base::milliseconds interval() const
    {
        return m_interval;
    }

    /// Whether the event loop was late in the last period between two adjustments.
    bool isOverloaded() const
    {
        return m_isOverloaded;
    }

private:
    base::milliseconds m_interval = shortestInterval;
    base::milliseconds m_largestLag{0};
    base::time_point m_adjustedAt;
    bool m_isOverloaded = false;
};

} // namespace chervilbend::fleet
