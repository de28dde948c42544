#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/external/host_entry.hpp>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace chervilbend::external
{
class host_list;
} // namespace chervilbend::external

namespace chervilbend::control
{

class host_listener;

/// Polls the platform's list of hosts and tells listeners of changes.
///
/// The list may be wrong for a while. While it cannot be read, the last one stays in use. A list that lost more than half of its
/// hosts at once is used only after it was read three times in a row, since losing that many at once is more often the list's fault.
class host_watcher
{
public:
    /// All references must outlive the task.
    host_watcher(external::host_list &source, base::milliseconds interval);

    /// Commands.

    void addListener(host_listener &listener);
    /// The polling task; ends only by cancellation.
    boost::asio::awaitable<void> run();
    /// Takes one list as read; the task calls it, tests may.
    void accept(std::vector<external::host_entry> hosts);

    /// Queries.

    const std::vector<external::host_entry> &hosts() const
    {
        return m_hosts;
    }

    /// Whether any list was read yet.
    bool isKnown() const
    {
        return m_known;
    }

private:
    bool isPlausible(const std::vector<external::host_entry> &hosts);

    external::host_list &m_source;
    base::milliseconds m_interval;
    std::vector<host_listener *> m_listeners;
    std::vector<external::host_entry> m_hosts;
    std::vector<external::host_entry> m_doubted;
    int m_timesDoubted = 0;
    bool m_known = false;
};

} // namespace chervilbend::control
