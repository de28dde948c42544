#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/membership/crash_suspicion_table.hpp>
#include <chervilbend/membership/gossip.hpp>
#include <chervilbend/membership/member.hpp>
#include <chervilbend/membership/member_table_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace chervilbend::membership
{

/// The cluster membership in the view of this node, from the host list, its own probes and gossip.
///
/// Follows SWIM (Das, Gupta, Motivala, DSN 2002): random probing, indirect probes, suspicion and refutation. The host list only adds
/// nodes to probe; whether they are alive is decided by probing.
class member_table
{
public:
    member_table(member self, member_table_settings settings, std::uint64_t seed);

    /// Commands.

    /// Sets the nodes of the host list. Their state is ignored, but not their draining flag.
    void setListedMembers(const std::vector<member> &listed);

    /// Returns the member to probe now; empty if there is none. Successive calls return the members in random order.
    std::optional<member> nextProbe();

    /// Returns up to @p count random members to send indirect probes of @p target through.
    std::vector<member> relaysFor(const base::node_id &target, std::size_t count);

    /// Records that the member answered neither a direct nor an indirect probe.
    void probeFailed(const base::node_id &target);

    /// Applies a received message. @p direct tells whether it came from its sender and not through another node.
    void receive(const gossip &message, bool direct);

    /// Returns the updates to send with the next message to @p receiver, and counts them as sent. The number of times that an update is sent
    /// grows with the logarithm of the number of nodes. A receiver that is considered suspect or dead is told so, so that it can refute this.
    gossip takeGossip(const base::node_id &receiver);

    /// Announces that this node is about to stop.
    void announceLeaving();

    void addCrashSuspicion(const crash_suspicion &suspicion);

    /// Declares members dead whose suspicion has timed out, and removes members that have been dead for long. Call about once per second.
    void advance();

    /// Queries.

    const member &self() const
    {
        return m_self;
    }

    /// Nullptr if the member is not known.
    const member *find(const base::node_id &id) const;

    /// All members that are not dead, including this node.
    std::vector<member> live() const;

    /// The nodes that may hold leases: live, not draining, and not in the delay after a rejoin.
    std::vector<base::node_id> eligibleHolders() const;

    std::vector<crash_suspicion> crashSuspicions() const
    {
        return m_crashSuspicions.all();
    }

    /// State changes of members since the start, for metrics.
    std::uint64_t stateChanges() const
    {
        return m_stateChanges;
    }

private:
    struct record {
        member known;
        bool listed = false;
        bool listedDraining = false;
        base::time_point stateSince;
        std::optional<base::time_point> lastContactAt;
        int rejoins = 0;
        base::time_point rejoinedAt;
        int transmissionsLeft = 0;
    };

    void apply(const member &update, bool fromItself);
    void refute(const member &claim);
    void updateRecord(record &entry, const member &update);
    int transmissions() const;
    base::milliseconds suspicionTimeout() const;
    base::milliseconds rejoinDelay(int rejoins) const;
    std::optional<member> nextDeadMember();
    void refillProbeQueue();

    member m_self;
    member_table_settings m_settings;
    std::mt19937_64 m_random;
    std::map<base::node_id, record> m_records;
    crash_suspicion_table m_crashSuspicions;
    /// Members that are still to be probed in this round.
    std::vector<base::node_id> m_probeQueue;
    int m_probeCount = 0;
    std::uint64_t m_stateChanges = 0;
};

} // namespace chervilbend::membership
