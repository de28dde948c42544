#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/membership/member_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

using namespace chervilbend;
using namespace chervilbend::membership;

namespace
{

constexpr std::uint64_t seed = 7;

/// Nodes that probe each other once per second over links that a test can interrupt.
class cluster
{
public:
    explicit cluster(int size)
    {
        for (int i = 0; i < size; ++i) {
            listed.push_back(makeMember(i, 1));
        }
        for (int i = 0; i < size; ++i) {
            tables.push_back(std::make_unique<member_table>(makeMember(i, 1), member_table_settings(), seed + static_cast<std::uint64_t>(i)));
            tables.back()->setListedMembers(listed);
        }
    }

    static member makeMember(int index, std::int64_t incarnation)
    {
        member known;
        known.id = base::node_id(std::string("n").append(std::to_string(index)));
        known.incarnation = base::incarnation(incarnation);
        known.address = std::string("127.0.0.1:").append(std::to_string(1000 + index));
        return known;
    }

    static int indexOf(const member &node)
    {
        return std::stoi(node.id.value().substr(1));
    }

    bool exchange(int from, int to)
    {
        if (!isConnected(from, to)) {
            return false;
        }
        member_table &sender = *tables[static_cast<std::size_t>(from)];
        member_table &receiver = *tables[static_cast<std::size_t>(to)];
        receiver.receive(sender.takeGossip(receiver.self().id), true);
        sender.receive(receiver.takeGossip(sender.self().id), true);
        return true;
    }

    void runSeconds(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            time.advance(base::milliseconds(1'000));
            ++elapsed;
            for (std::size_t i = 0; i < tables.size(); ++i) {
                probe(static_cast<int>(i));
                tables[i]->advance();
            }
        }
    }

    void probe(int from)
    {
        member_table &table = *tables[static_cast<std::size_t>(from)];
        const std::optional<member> target = table.nextProbe();
        if (!target || exchange(from, indexOf(*target))) {
            return;
        }
        for (const member &relay : table.relaysFor(target->id, 3)) {
            if (exchange(from, indexOf(relay)) && exchange(indexOf(relay), indexOf(*target))) {
                return;
            }
        }
        table.probeFailed(target->id);
    }

    /// Number of other nodes in whose view the node is in this state.
    int countObservers(int node, member_state state)
    {
        return static_cast<int>(std::count_if(tables.begin(), tables.end(), [&](const auto &table) {
            const member *known = table->find(makeMember(node, 1).id);
            return known && known->state == state && table->self().id != known->id;
        }));
    }

    std::uint64_t stateChanges() const
    {
        std::uint64_t sum = 0;
        for (const auto &table : tables) {
            sum += table->stateChanges();
        }
        return sum;
    }

    base::manual_time_source time;
    int elapsed = 0;
    std::vector<member> listed;
    std::vector<std::unique_ptr<member_table>> tables;
    std::function<bool(int, int)> isConnected = [](int, int) {
        return true;
    };
};

} // namespace

/// Guards against undetected failures, live nodes that are declared dead, and floods of updates and lease moves caused by flapping members.
class member_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(member_table_test);
    CPPUNIT_TEST(detectsStoppedNode);
    CPPUNIT_TEST(flappingLinkLeavesNoNodeDead);
    CPPUNIT_TEST(flappingNodeMovesFewLeases);
    CPPUNIT_TEST(probingOverridesHostList);
    CPPUNIT_TEST(recoversFromPartitionAndAcceptsNewIncarnation);
    CPPUNIT_TEST(spreadsCrashSuspicions);
    CPPUNIT_TEST_SUITE_END();

public:
    void detectsStoppedNode()
    {
        for (const int size : {9, 64}) {
            cluster nodes(size);
            nodes.runSeconds(5);
            nodes.isConnected = [](int from, int to) {
                return from != 0 && to != 0;
            };
            nodes.runSeconds(30);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), size - 1, nodes.countObservers(0, member_state::dead));
        }
    }

    void flappingLinkLeavesNoNodeDead()
    {
        cluster nodes(9);
        nodes.isConnected = [&nodes](int from, int to) {
            return from + to != 1 || nodes.elapsed / 5 % 2 == 0;
        };
        for (int second = 0; second < 600; ++second) {
            nodes.runSeconds(1);
            CPPUNIT_ASSERT_EQUAL(0, nodes.countObservers(0, member_state::dead) + nodes.countObservers(1, member_state::dead));
        }
        // Indirect probes avoid the link, so no member is suspected and no update is sent.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), nodes.stateChanges());
    }

    void flappingNodeMovesFewLeases()
    {
        cluster nodes(9);
        nodes.isConnected = [&nodes](int from, int to) {
            return (from != 0 && to != 0) || nodes.elapsed / 20 % 2 == 0;
        };
        int changes = 0;
        bool wasEligible = true;
        for (int second = 0; second < 1'200; ++second) {
            nodes.runSeconds(1);
            const auto holders = nodes.tables[5]->eligibleHolders();
            const bool isEligible = std::find(holders.begin(), holders.end(), cluster::makeMember(0, 1).id) != holders.end();
            changes += isEligible != wasEligible ? 1 : 0;
            wasEligible = isEligible;
        }
        // There are 30 outages. Without damping, each would make the node ineligible and eligible again. After three rejoins, the delay, which
        // doubles from 5 s, exceeds the 20 s in which the node is reachable.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(changes) + " changes", changes <= 8);
    }

    void probingOverridesHostList()
    {
        cluster nodes(9);
        std::vector<member> outdatedList = nodes.listed;
        outdatedList.erase(outdatedList.begin() + 3);
        outdatedList.push_back(cluster::makeMember(8, 1));
        outdatedList.back().id = base::node_id("n99");
        nodes.isConnected = [](int from, int to) {
            return from != 99 && to != 99;
        };
        nodes.tables.front()->setListedMembers(outdatedList);
        nodes.runSeconds(60);
        CPPUNIT_ASSERT(nodes.tables.front()->find(cluster::makeMember(3, 1).id)->state == member_state::alive);
        CPPUNIT_ASSERT(nodes.tables.front()->find(base::node_id("n99"))->state == member_state::dead);
        outdatedList.front().draining = true;
        nodes.tables.back()->setListedMembers(outdatedList);
        const auto holders = nodes.tables.back()->eligibleHolders();
        CPPUNIT_ASSERT(std::find(holders.begin(), holders.end(), cluster::makeMember(0, 1).id) == holders.end());
    }

    void recoversFromPartitionAndAcceptsNewIncarnation()
    {
        cluster nodes(12);
        nodes.isConnected = [](int from, int to) {
            return (from < 4) == (to < 4);
        };
        nodes.runSeconds(90);
        CPPUNIT_ASSERT_EQUAL(8, nodes.countObservers(0, member_state::dead));
        nodes.isConnected = [](int, int) {
            return true;
        };
        nodes.runSeconds(60);
        for (int node = 0; node < 12; ++node) {
            CPPUNIT_ASSERT_EQUAL(11, nodes.countObservers(node, member_state::alive));
        }
        // An update about an earlier incarnation must not affect the new one.
        nodes.tables[0] = std::make_unique<member_table>(cluster::makeMember(0, 2), member_table_settings(), seed);
        nodes.tables[0]->setListedMembers(nodes.listed);
        nodes.runSeconds(30);
        member stale = cluster::makeMember(0, 1);
        stale.state = member_state::dead;
        gossip message = nodes.tables[1]->takeGossip(cluster::makeMember(5, 1).id);
        message.updates.assign(1, stale);
        nodes.tables[5]->receive(message, true);
        CPPUNIT_ASSERT(nodes.tables[5]->find(stale.id)->state == member_state::alive);
        CPPUNIT_ASSERT(nodes.tables[5]->find(stale.id)->incarnation == base::incarnation(2));
    }

    void spreadsCrashSuspicions()
    {
        cluster nodes(64);
        nodes.tables[0]->addCrashSuspicion({42, 1});
        nodes.tables[9]->addCrashSuspicion({42, 2});
        nodes.runSeconds(15);
        for (const auto &table : nodes.tables) {
            CPPUNIT_ASSERT(table->crashSuspicions() == (std::vector<crash_suspicion>{{42, 2}}));
        }
        nodes.time.advance(member_table_settings().crashSuspicionRetention);
        CPPUNIT_ASSERT(nodes.tables[0]->crashSuspicions().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_test);
