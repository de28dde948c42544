#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <set>

namespace chervilbend::node
{

/// Finds out whether this node has lost its links to all endpoints.
///
/// Its requests only raise a suspicion: nothing has come from any endpoint for a while, or connections to several have failed and none has been made since.
/// A suspicion is decided by opening connections to some endpoints.
class endpoint_reachability
{
public:
    /// Opens connections to up to so many endpoints at once and returns whether any was accepted; no value if too few endpoints are known to tell.
    using probe_function = std::function<boost::asio::awaitable<std::optional<bool>>(std::size_t endpoints)>;

    explicit endpoint_reachability(probe_function probe);

    /// Commands.

    /// Decides suspicions, and finds out when the links are back. Does not return.
    boost::asio::awaitable<void> run();
    /// The listener is called when isStranded() has changed.
    void onChange(std::function<void()> listener);

    /// Data is awaited from an endpoint: a request has been sent, or an answer has fallen silent.
    void noteWaiting();
    void noteReceived();
    void noteConnected();
    void noteConnectFailure(const base::endpoint_id &endpoint);

    /// Queries.

    /// Whether no endpoint can be reached.
    bool isStranded() const
    {
        return m_isStranded;
    }

private:
    bool isSuspicious(base::time_point now) const;
    void clearEvidence();
    void setStranded(bool isStranded);
    boost::asio::awaitable<void> decide();
    boost::asio::awaitable<void> checkRecovery();

    probe_function m_probe;
    std::function<void()> m_listener;
    bool m_isStranded = false;
    /// Since when data is awaited, if none has come from any endpoint since.
    std::optional<base::time_point> m_waitingSince;
    /// Endpoints to which a connection has failed since the last one was made.
    std::set<base::endpoint_id> m_unconnected;
    int m_successes = 0;
};

} // namespace chervilbend::node
