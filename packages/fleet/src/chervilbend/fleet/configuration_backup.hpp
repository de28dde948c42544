#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/counter.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace chervilbend::fleet
{

class command_lease;
class configuration_copies;
class configuration_follower;

/// Lets a node that starts while it can't read the operators' configuration serve by a copy of it.
///
/// The holder of the command lease writes the copies after each change of the version in force. A node reads them only while it has no configuration and can't
/// read the operators' record. A copy
/// may be older than the operators' record, so it counts as unconfirmed, and the follower goes on reading the store.
class configuration_backup
{
public:
    /// References must outlive the object.
    configuration_backup(configuration_copies &copies, configuration_follower &follower, const command_lease &lease, base::counter &restored);

    /// Reads one copy until the node has a configuration, then keeps it up to date while this node holds the lease. Does not return. To be run for each copy.
    boost::asio::awaitable<void> run(int index);

private:
    boost::asio::awaitable<void> restore(int index);
    boost::asio::awaitable<void> update(int index, std::int64_t &writtenVersion);

    configuration_copies &m_copies;
    configuration_follower &m_follower;
    const command_lease &m_lease;
    base::counter &m_restored;
};

} // namespace chervilbend::fleet
