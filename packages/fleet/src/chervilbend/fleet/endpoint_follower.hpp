#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>

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

/// Keeps an endpoint registry up to date: from the word of the holder of the command lease while that comes in time, otherwise from the platform's
/// store, with one read per interval.
class endpoint_follower
{
public:
    /// @p interval is the time between two reads; a node sees a leaving endpoint at most so much later, and the answer's delay.
    endpoint_follower(fleet_store &store, endpoint_registry &registry, base::milliseconds interval, std::uint64_t seed);

    /// Commands.

    /// Follows the store for good.
    boost::asio::awaitable<void> run();
    /// This node is the holder, whose word the others go by, or no longer is.
    void setHolder(bool isHolder);
    /// Takes what the holder read at @p readAt. False when this node has read further itself.
    bool takeRelayed(const store_update &news, base::time_point readAt);
    /// Called with the endpoints that have changed or are gone.
    void onChange(std::function<void(const std::set<base::endpoint_id> &)> listener);

    /// Called after each read that failed or was slow.
    void onStoreProblem(std::function<void()> listener);

    /// Queries.

    /// Position in the store up to which the registrations are known.
    std::optional<std::int64_t> position() const
    {
        return m_position;
    }

    /// When the read that showed the registrations last was sent, by this node or by the holder.
    base::time_point readAt() const
    {
        return m_readAt;
    }

private:
    /// Until when the holder's word stands in for a read of this node.
    std::optional<base::time_point> relayedUntil() const;
    void takeRead(const endpoint_page &page, bool isWhole, base::time_point asked);
    void notify(const std::set<base::endpoint_id> &changed) const;

    fleet_store &m_store;
    std::uint64_t m_seed;
    endpoint_registry &m_registry;
    base::milliseconds m_interval;
    std::function<void(const std::set<base::endpoint_id> &)> m_listener;
    std::function<void()> m_onDoubt;
    std::optional<std::int64_t> m_position;
    base::time_point m_readAt;
    /// When the holder's read was sent that was taken over last.
    std::optional<base::time_point> m_relayedAt;
    bool m_isHolder = false;
    /// Ends a wait for the holder's word.
    net::change_signal m_wake;
};

} // namespace chervilbend::fleet
