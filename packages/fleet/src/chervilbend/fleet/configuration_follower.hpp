#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chervilbend::fleet
{

class configuration_provider;
class fleet_store;
struct configuration_page;

/// Keeps the operators' configuration up to date from the platform's store, and from another node while the store cannot be read here. A version once in
/// force is never replaced by an older one.
class configuration_follower
{
public:
    /// @p store must outlive the follower. @p seed is for the random delays after failures.
    explicit configuration_follower(fleet_store &store, std::uint64_t seed);
    ~configuration_follower();
    configuration_follower(const configuration_follower &) = delete;
    configuration_follower &operator=(const configuration_follower &) = delete;

    /// Commands.

    /// All nodes read a new version at the same time, so the more nodes there are, the longer the store takes to begin its answer.
    void setNodeCount(int nodes);
    /// @p megabytesPerSecond is the rate at which the store answers the reads of all nodes together; above 0.
    void setStoreReadRate(double megabytesPerSecond);
    /// Follows the store. Does not return.
    boost::asio::awaitable<void> run();
    /// Follows another node while reads of the store fail and the holder of the command lease has read further, or this node has no configuration. Does
    /// not return. @p provider must outlive the follower.
    boost::asio::awaitable<void> followNodes(configuration_provider &provider);
    /// This node has become the holder of the command lease, whose reads are relayed to the other nodes, or has ceased to be.
    void setHolder(bool isHolder);
    /// The holder has read up to @p position; the store confirmed at @p confirmedAt that there was nothing newer.
    void noteHolderPosition(std::int64_t position, base::time_point confirmedAt);
    /// Takes a copy of the configuration, which may be out of date, if this node has none at all. Returns whether it is in force now.
    bool applyCopy(traffic_configuration copy, std::string record);
    /// A read of the store has failed or was slow.
    void noteStoreProblem();
    /// The listener is called after each change of the version in force.
    void onChange(std::function<void(const traffic_configuration &)> listener);
    /// The listener is called each time a version has been taken from another node.
    void onTakenFromNode(std::function<void()> listener);

    /// Queries.

    /// The version in force; nullptr before the first one was read. It stays valid for requests that began under it.
    std::shared_ptr<const traffic_configuration> current() const
    {
        return m_current;
    }

    /// The record of the version in force, as it is in the store; empty before the first one was read.
    const std::string &record() const
    {
        return m_record;
    }

    /// Whether the store has refused the last read of the configuration, or does not answer it. An answer that arrives slowly is one.
    bool isUnreadable() const;

    /// Position in the store up to which the configuration is known.
    std::optional<std::int64_t> position() const
    {
        return m_position;
    }

    /// Records of the store that this node has not read, as far as the holder of the command lease or an answer of the store has shown. No value while nothing
    /// is known of it.
    std::optional<std::int64_t> recordsBehind() const;

    /// When the store last confirmed, to this node or to the holder, that this is the newest version.
    base::time_point confirmedAt() const
    {
        return m_confirmedAt;
    }

private:
    /// When a read was sent, its answer began to arrive, and the last part of it arrived. What the store has confirmed, it has confirmed when it began to
    /// answer.
    struct read_stages {
        base::time_point sentAt;
        std::optional<base::time_point> answerBeganAt;
        std::optional<base::time_point> lastPartAt;
    };

    /// Waits while a confirmation of the holder makes a read by this node unnecessary. False when this node has to read.
    boost::asio::awaitable<bool> waitForHolder();
    boost::asio::awaitable<std::optional<configuration_page>> read(int failures);
    /// Whether the next read is one of the newest version alone, rather than of all versions from the position on.
    bool readsNewestOnly(bool afterFailure) const;
    /// How long the store takes to send a record as long as the newest known one to all nodes. @p failures is the number of failed reads in a row.
    base::milliseconds answerAllowance(int failures) const;
    void logFailedRead(int failures) const;
    /// Puts what a read has brought in force, and logs how long each stage took.
    void applyPage(configuration_page page);
    void applyConfiguration(std::optional<traffic_configuration> newest, std::string record);
    /// Whether this node cannot read a version that another node has, as far as is known.
    bool needsNode() const;
    /// False when no newer version was taken.
    boost::asio::awaitable<bool> askNode(configuration_provider &provider);

    fleet_store &m_store;
    std::uint64_t m_seed;
    int m_nodes = 1;
    double m_storeBytesPerMs = 80'000;
    std::function<void(const traffic_configuration &)> m_listener;
    std::function<void()> m_takenListener;
    std::shared_ptr<const traffic_configuration> m_current;
    /// When the answer to the present read, or its next part, will be late; no value between two reads.
    std::optional<base::time_point> m_answerDueAt;
    /// The stages of the last read.
    read_stages m_read;
    /// When the lease holder or the store has shown a record that this node lacks; no value while none is known.
    std::optional<base::time_point> m_newerKnownAt;
    std::string m_record;
    std::optional<std::int64_t> m_position;
    base::time_point m_confirmedAt;
    base::time_point m_shortPollUntil;
    /// The newest position that the holder has reported, and until when its confirmation replaces a read.
    std::int64_t m_holderPosition = -1;
    base::time_point m_holderConfirmedUntil;
    /// The highest end of the records that an answer of the store has shown.
    std::int64_t m_storeEnd = -1;
    bool m_isHolder = false;
    /// Whether the last read of the store has failed.
    bool m_isReadFailing = false;
    net::change_signal m_wake;
    /// Notified when needsNode() may have become true.
    net::change_signal m_nodeNeeded;
};

} // namespace chervilbend::fleet
