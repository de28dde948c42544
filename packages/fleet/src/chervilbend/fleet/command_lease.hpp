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

/// A node's parameters for the lease.
struct command_lease_options {
    base::node_id node;
    /// Distinguishes successive processes of this node.
    std::int64_t incarnation = 0;
    /// "IP:PORT" at which other nodes reach this one.
    std::string peerAddress;
    /// This host's share of a processor core. Hosts with a small share leave a free lease to the others for a while.
    double processorShare = 1;
    /// How long the holder may send commands, counted from the time at which it sent a successful renewal.
    base::milliseconds term{1'500};
    base::milliseconds renewalInterval{500};
    /// Minimum time between the last command of one holder and the first command of the next.
    base::milliseconds commandGap{3'000};
    /// Engines refuse commands with an older token. Commands that a holder sends after it has lost contact with the store are then harmless, so
    /// the gap counts from its last renewal; otherwise it counts from the end of its term.
    bool enginesCheckFencing = false;
};

/// The lease that entitles one node to send commands to the engines. It is one record in the platform's store, written by compare-and-set on
/// its position.
///
/// The holder counts its term from the time at which it sent the renewal; all other nodes count the same term from the time at which they
/// learned of it, so the holder always gives up first. Both use a clock that continues while the host is suspended. A new holder waits for
/// commandGap after the end of the old holder's term before its first command.
///
/// The holder reads the store for all nodes and answers their reports, so it should be a host with some processor time to spare: the others
/// try to acquire a free lease only if no such host has done so.
///
/// The store may come back from an older copy of itself, in which the record is missing or names an earlier holder. The present holder then writes its
/// record again. The other nodes, which do not know whether its term has ended, wait for that long before they acquire the lease, and count the gap
/// from then.
class command_lease
{
public:
    /// @p store must outlive the lease.
    command_lease(fleet_store &store, command_lease_options options);

    /// Commands.

    /// Acquires the lease when it is free and keeps renewing it. Returns only after release().
    boost::asio::awaitable<void> run();
    /// Another node reported that it holds the lease. @p age is the time since it sent the renewal that is stored at @p offset.
    void noteHolder(const lease_record &record, std::int64_t offset, base::milliseconds age);
    /// Gives up the lease, because an engine has seen a higher token and so another node holds it.
    void resign(const std::string &reason);
    /// Releases the lease for a planned shutdown and does not acquire it again.
    boost::asio::awaitable<void> release();
    void onChange(std::function<void(bool isHolder)> listener);
    /// The listener is called with the node count in the lease record each time the record is read.
    void onNodes(std::function<void(int nodes)> listener);
    /// Sets the node count that the next renewals write.
    void setNodes(int nodes)
    {
        m_nodes = nodes;
    }

    /// Queries.

    bool isHolder() const
    {
        return m_held.has_value();
    }

    /// Whether a command may be sent now.
    bool mayCommand() const;
    /// Fencing token of the held lease; 0 when it is not held.
    std::int64_t token() const
    {
        return m_held ? m_held->token : 0;
    }

    /// Number of nodes as last counted or read; 0 when it has not been counted yet.
    int nodes() const
    {
        return m_nodes;
    }

    /// The known holder of the lease; no value when unknown or expired.
    std::optional<lease_record> holder() const;
    /// The last known holder, although its term may have ended; no value when none is known.
    const std::optional<lease_record> &lastHolder() const
    {
        return m_latest;
    }
    /// Position of the record that holder() was read from. age() is the time since its renewal was sent or learned of.
    std::int64_t offset() const
    {
        return m_latestOffset;
    }
    base::milliseconds age() const
    {
        return base::clock::bootNow() - m_latestAt;
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
    /// Delay before an attempt to acquire a free lease, which had a holder before or has never had one.
    base::milliseconds acquireDelay(bool hadHolder);
    boost::asio::awaitable<void> tryAcquire(lease_page page);
    lease_record ownRecord() const;
    /// Reads the record after a release without effect. False when another release or holder has replaced it.
    boost::asio::awaitable<bool> isStillOwnRecord();
    void observe(const lease_page &page);
    /// Whether another node has acquired the lease after this one, which holds it.
    bool isSuperseded(const lease_page &page) const;
    /// To be called after each read of the lease, before the record is used.
    void noteRestorations();
    /// Until when a holder may be in its term that an older copy of the store does not show; no value if there is none.
    std::optional<base::time_point> unseenTermEnd() const;
    void startHolding(std::int64_t offset, base::time_point sentAt);
    bool isFree(const lease_page &page) const;
    void lose(const std::string &reason);

    fleet_store &m_store;
    command_lease_options m_options;
    std::function<void(bool)> m_listener;
    std::function<void(int)> m_nodesListener;
    /// As last counted by this node as holder, or as read from the record.
    int m_nodes = 0;
    std::optional<held_lease> m_held;
    /// The highest token that this process has held.
    std::int64_t m_lastToken = 0;
    /// The newest known record, and when it was learned of, by the boot clock.
    std::optional<lease_record> m_latest;
    std::int64_t m_latestOffset = -1;
    base::time_point m_latestAt;
    /// When the last attempt to acquire the lease was sent; without an answer, it may still have been written.
    base::time_point m_writeSentAt;
    /// The store's number of restorations at the last read of the lease.
    std::optional<std::int64_t> m_restorations;
    /// When this node noticed that the store had come back from an older copy, by the boot clock, if another node held the lease before.
    std::optional<base::time_point> m_restoredAt;
    retry_backoff m_backoff;
    std::minstd_rand m_random;
    bool m_stopping = false;
};

} // namespace chervilbend::fleet
