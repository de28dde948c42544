#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/read_time.hpp>

#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace chervilbend::fleet
{

class fleet_store;
struct store_update;

/// Keeps an endpoint registry up to date: from updates of the holder of the command lease while they arrive in time, otherwise from the
/// platform's store, with one read per interval.
class endpoint_follower
{
public:
    /// @p interval is the time between two reads; a node learns of a draining endpoint after at most this time and the delay of the answer.
    endpoint_follower(fleet_store &store, endpoint_registry &registry, base::milliseconds interval, std::uint64_t seed);

    /// Commands.

    /// Follows the store. Does not return.
    boost::asio::awaitable<void> run();
    /// This node has become the holder, whose reads are relayed to the other nodes, or has ceased to be.
    void setHolder(bool isHolder);
    /// Applies what the holder read at @p readAt. False when this node is the holder or has itself read further.
    bool applyRelayed(const store_update &update, const read_time &readAt);
    /// The listener is called with the endpoints that have changed or are gone.
    void onChange(std::function<void(const std::set<base::endpoint_id> &)> listener);

    /// The listener is called when all registrations are known for the first time, by a read or from the holder, also if there are none.
    void onFirstRead(std::function<void()> listener);

    /// The listener is called after each read that failed or was slow.
    void onStoreProblem(std::function<void()> listener);

    /// Queries.

    /// Position in the store up to which the registrations are known.
    std::optional<std::int64_t> position() const
    {
        return m_position;
    }

    /// When the latest read of the registrations was sent, by this node or by the holder.
    const read_time &readAt() const
    {
        return m_readAt;
    }

private:
    /// Until when an update of the holder replaces a read by this node.
    std::optional<base::time_point> relayedUntil() const;
    /// To be called after each read, before it is applied.
    void noteRestorations(base::time_point now);
    void noteRead(const read_time &readAt);
    void applyRead(const endpoint_page &page, bool isSnapshot, const read_time &requestedAt);
    void notify(const std::set<base::endpoint_id> &changed) const;

    fleet_store &m_store;
    std::uint64_t m_seed;
    endpoint_registry &m_registry;
    base::milliseconds m_interval;
    std::function<void(const std::set<base::endpoint_id> &)> m_listener;
    std::function<void()> m_problemListener;
    std::function<void()> m_firstReadListener;
    std::optional<std::int64_t> m_position;
    read_time m_readAt;
    /// When the holder sent the read that was applied last.
    std::optional<base::time_point> m_relayedAt;
    /// The store's number of restorations at the last read.
    std::optional<std::int64_t> m_restorations;
    bool m_isHolder = false;
    /// Ends a wait for the holder's updates.
    net::change_signal m_wake;
};

} // namespace chervilbend::fleet
