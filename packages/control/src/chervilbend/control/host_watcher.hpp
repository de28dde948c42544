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

/// Polls the platform's host list and notifies listeners of changes.
///
/// The host list may be temporarily wrong. While it cannot be read, the last known list remains in use. A list that lacks more than half of
/// the known hosts is used only after three identical reads in a row, since such a loss is more often a fault of the list than real.
class host_watcher
{
public:
    /// All references must outlive the task.
    host_watcher(external::host_list &source, base::milliseconds interval);

    /// Commands.

    void addListener(host_listener &listener);
    /// Polls the list until cancelled.
    boost::asio::awaitable<void> run();
    /// Processes a list that was read. Called by run(), and directly by tests.
    void accept(std::vector<external::host_entry> hosts);

    /// Queries.

    const std::vector<external::host_entry> &hosts() const
    {
        return m_hosts;
    }

    /// Whether a list has been read yet.
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
    std::vector<external::host_entry> m_implausibleHosts;
    int m_implausibleReads = 0;
    bool m_known = false;
};

} // namespace chervilbend::control
