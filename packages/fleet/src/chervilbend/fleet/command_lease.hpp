#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/lease_record.hpp>
#include <chervilbend/fleet/retry_backoff.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace chervilbend::fleet
{

/// What a node brings to the lease.
struct command_lease_options {
    base::node_id node;
    /// Tells lives of this node's process apart.
    std::int64_t incarnation = 0;
    /// "IP:PORT" at which other nodes reach this one.
    std::string peerAddress;
    /// How long the holder may command after it sent a renewal that was written.
    base::milliseconds term{1'500};
    base::milliseconds renewalInterval{500};
    /// Least time between the last command of one holder and the first of the next.
    base::milliseconds commandGap{3'000};
    /// Engines refuse commands with an older token. What a holder sends after it has lost touch with the store then does no harm, so the gap
    /// counts from its last renewal; otherwise from the end of its term.
    bool enginesCheckFencing = false;
};

/// The lease on commanding the engines: one record in the platform's store, replaced only by who knows its position.
///
/// The holder counts its term from the moment at which it sent the renewal; everybody else counts the same term from the moment at which they
/// learned of it, so the holder always gives up first. Both measure with a clock that goes on while the host is suspended. A new holder waits
/// for the gap behind the end of the old one's term before its first command.
class command_lease
{
public:
    /// @p store must outlive the lease.
    command_lease(fleet_store &store, command_lease_options options);

    /// Commands.

    /// Takes the lease when it is free, and keeps it, for good.
    boost::asio::awaitable<void> run();
    /// Another node said that it holds the lease, and how long ago it sent the renewal that stands at this position.
    void noteHolder(const lease_record &record, std::int64_t offset, base::milliseconds age);
    /// An engine has seen a higher token: somebody else holds the lease.
    void resign(const std::string &why);
    /// Gives the lease up for a planned stop, and does not take it again.
    boost::asio::awaitable<void> release();
    void onChange(std::function<void(bool isHolder)> listener);
    /// Called with the count of nodes in the lease's record each time that it is read.
    void onNodes(std::function<void(int nodes)> listener);
    /// The holder's own count, for the next renewals.
    void setNodes(int nodes)
    {
        m_nodes = nodes;
    }

    /// Queries.

    bool isHolder() const
    {
        return m_held.has_value();
    }

    /// Whether a command may be sent at this moment.
    bool mayCommand() const;
    /// Fencing token of the held lease; 0 when it is not held.
    std::int64_t token() const
    {
        return m_held ? m_held->token : 0;
    }

    /// Nodes as last counted or read; 0 when nobody has counted them yet.
    int nodes() const
    {
        return m_nodes;
    }

    /// Who holds the lease, as far as known and not expired.
    std::optional<lease_record> holder() const;
    /// Position of the record that holder() came from, and the time since its renewal was sent or learned of.
    std::int64_t offset() const
    {
        return m_seenOffset;
    }
    base::milliseconds age() const
    {
        return base::clock::bootNow() - m_seenAt;
    }

private:
    struct held_lease {
        std::int64_t token = 0;
        std::int64_t renewal = 0;
        /// By the boot clock.
        base::time_point validUntil;
        base::time_point commandsFrom;
    };

    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<void> take(lease_page page);
    lease_record ownRecord() const;
    void see(const lease_page &page);
    void adopt(std::int64_t offset, base::time_point sentAt);
    bool isFree(const lease_page &page) const;
    void lose(const std::string &why);

    fleet_store &m_store;
    command_lease_options m_options;
    std::function<void(bool)> m_listener;
    std::function<void(int)> m_nodesListener;
    /// As last counted by this node as the holder, or read.
    int m_nodes = 0;
    std::optional<held_lease> m_held;
    /// The newest token that this process has held.
    std::int64_t m_lastToken = 0;
    /// The newest record known, and when it was learned of by the boot clock.
    std::optional<lease_record> m_seen;
    std::int64_t m_seenOffset = -1;
    base::time_point m_seenAt;
    /// When the last write that may have been carried out was sent.
    base::time_point m_sentAt;
    retry_backoff m_pause;
    std::minstd_rand m_random;
    bool m_stopping = false;
};

} // namespace chervilbend::fleet
