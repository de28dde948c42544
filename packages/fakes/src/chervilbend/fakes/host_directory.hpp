#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/external/host_entry.hpp>
#include <chervilbend/fakes/lagged_history.hpp>

#include <string>
#include <vector>

namespace chervilbend::fakes
{

/// A list of hosts that readers see with a lag. Does no I/O; time comes from base::clock.
class host_directory
{
public:
    explicit host_directory(base::milliseconds lag = base::milliseconds(0));

    /// Commands.

    /// Adds a host or replaces the one with the same id.
    void set(external::host_entry host);
    /// Removes the host; ids that are not listed have no effect.
    void remove(const std::string &id);
    /// Marks the host as leaving, or removes the mark. False when the id is not listed.
    bool setLeaving(const std::string &id, bool leaving);
    void setLag(base::milliseconds lag);

    /// Queries.

    /// The list as readers see it, delayed by the lag, in the order in which the hosts were first added.
    const std::vector<external::host_entry> &delayedHosts();
    /// The current list, without the lag.
    const std::vector<external::host_entry> &currentHosts() const;

private:
    base::milliseconds m_lag;
    lagged_history<std::vector<external::host_entry>> m_history;
};

} // namespace chervilbend::fakes
