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

/// The nodes as this node sees them, from the host list, own probes and the gossip on them.
///
/// Follows SWIM (Das, Gupta, Motivala, DSN 2002): random probing, indirect probes, suspicion and refutation. The host list only adds
/// nodes to probe; own probing decides whether they live.
class member_table
{
public:
    member_table(member self, member_table_settings settings, std::uint64_t seed);

    /// Commands.

    /// Takes the nodes of the host list. Their state is ignored; their mark for leaving counts.
    void setListedMembers(const std::vector<member> &listed);

    /// The member to probe now; no value when there is none. Each call gives the next one of a random order.
    std::optional<member> nextProbe();

    /// Members to ask for an indirect probe of @p target, at most @p count, at random.
    std::vector<member> relaysFor(const base::node_id &target, std::size_t count);

    /// The member did not answer, neither directly nor through others.
    void probeFailed(const base::node_id &target);

    /// Takes what a message says. @p direct when the message came from its sender and not through another node.
    void receive(const gossip &message, bool direct);

    /// What to send with the next message to @p receiver. Each update is sent a number of times that grows with the logarithm of the
    /// number of nodes. A receiver that is not seen as alive is told so, so that it can refute.
    gossip takeGossip(const base::node_id &receiver);

    /// Spreads that this node is about to stop.
    void announceLeaving();

    void addCrashSuspicion(const crash_suspicion &suspicion);

    /// Declares suspects dead whose time is over, and forgets old dead members. Call about once per second.
    void advance();

    /// Queries.

    const member &self() const
    {
        return m_self;
    }

    /// Nullptr when the member is not known.
    const member *find(const base::node_id &id) const;

    /// All members that are not dead, this node among them.
    std::vector<member> live() const;

    /// The nodes that may hold leases: live, not leaving, and not just back from being dead.
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
        bool listedLeaving = false;
        base::time_point stateSince;
        std::optional<base::time_point> heardAt;
        int returns = 0;
        base::time_point returnedAt;
        int transmissionsLeft = 0;
    };

    void apply(const member &update, bool fromItself);
    void refute(const member &claim);
    void change(record &entry, const member &update);
    int transmissions() const;
    base::milliseconds suspicionTimeout() const;
    base::milliseconds returnDelay(int returns) const;
    std::optional<member> nextDead();
    void shuffleRound();

    member m_self;
    member_table_settings m_settings;
    std::mt19937_64 m_random;
    std::map<base::node_id, record> m_records;
    crash_suspicion_table m_crashSuspicions;
    /// Members still to probe in this round.
    std::vector<base::node_id> m_round;
    int m_probes = 0;
    std::uint64_t m_stateChanges = 0;
};

} // namespace chervilbend::membership
