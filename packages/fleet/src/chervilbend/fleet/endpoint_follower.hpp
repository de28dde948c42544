#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace chervilbend::fleet
{

class fleet_store;

/// Keeps an endpoint registry up to date from the platform's store, with one read per interval.
class endpoint_follower
{
public:
    /// @p interval is the time between two reads; a node sees a leaving endpoint at most so much later, and the answer's delay.
    endpoint_follower(fleet_store &store, endpoint_registry &registry, base::milliseconds interval, std::uint64_t seed);

    /// Follows the store for good.
    boost::asio::awaitable<void> run();
    /// Called with the endpoints that have changed or are gone.
    void onChange(std::function<void(const std::set<base::endpoint_id> &)> listener);

    /// Called after each read that failed or was slow.
    void onDoubt(std::function<void()> listener);

    /// Whether all endpoints were read at least once.
    bool isKnown() const
    {
        return m_known;
    }

    /// When the registrations were last read.
    base::time_point readAt() const
    {
        return m_readAt;
    }

private:
    void notify(const std::set<base::endpoint_id> &changed) const;

    fleet_store &m_store;
    std::uint64_t m_seed;
    endpoint_registry &m_registry;
    base::milliseconds m_interval;
    std::function<void(const std::set<base::endpoint_id> &)> m_listener;
    std::function<void()> m_onDoubt;
    std::optional<std::int64_t> m_position;
    bool m_known = false;
    base::time_point m_readAt;
};

} // namespace chervilbend::fleet
