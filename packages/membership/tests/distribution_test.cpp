#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/membership/demand_tree.hpp>
#include <chervilbend/membership/endpoint_subset.hpp>
#include <chervilbend/membership/rendezvous.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>

using namespace chervilbend;
using namespace chervilbend::membership;

namespace
{

std::vector<base::node_id> nodes(int count)
{
    std::vector<base::node_id> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        ids.emplace_back("node-" + std::to_string(i));
    }
    return ids;
}

base::lease_name lease(int index)
{
    return base::lease_name("endpoint/engine-" + std::to_string(index));
}

const base::item_id item("m@1");

} // namespace

/// Guards against uneven or unstable distribution of leases, demand that is lost or counted twice, and endpoints that no node uses.
class distribution_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(distribution_test);
    CPPUNIT_TEST(spreadsLeasesEvenly);
    CPPUNIT_TEST(movesFewLeasesWhenNodesJoinOrLeave);
    CPPUNIT_TEST(sumsDemandWithBoundedFanIn);
    CPPUNIT_TEST(expiresOldSumsAndAvoidsCycles);
    CPPUNIT_TEST(assignsEveryEndpointToANode);
    CPPUNIT_TEST_SUITE_END();

public:
    void spreadsLeasesEvenly()
    {
        const auto candidates = holderCandidates(nodes(370));
        CPPUNIT_ASSERT_EQUAL(maxHolders, candidates.size());
        std::map<base::node_id, int> held;
        for (int i = 0; i < 880; ++i) {
            ++held[intendedHolder(lease(i), candidates)];
        }
        // The mean is 880 / 32 = 27.5, the standard deviation 5.2. The limits are five standard deviations from the mean.
        for (const auto &[node, count] : held) {
            CPPUNIT_ASSERT_MESSAGE(node.value() + " " + std::to_string(count), count >= 2 && count <= 53);
        }
        CPPUNIT_ASSERT_EQUAL(maxHolders, held.size());
    }

    void movesFewLeasesWhenNodesJoinOrLeave()
    {
        std::vector<base::node_id> live = nodes(370);
        const auto before = holderCandidates(live);
        const base::node_id &lost = before[7];
        std::erase(live, base::node_id(lost));
        const auto after = holderCandidates(live);
        for (int i = 0; i < 880; ++i) {
            const base::node_id previous = intendedHolder(lease(i), before);
            const base::node_id current = intendedHolder(lease(i), after);
            // A lease may only move away from the lost node, or to the node that replaced it among the candidates.
            CPPUNIT_ASSERT(previous == current || previous == lost || current == after.back());
        }
        std::reverse(live.begin(), live.end());
        CPPUNIT_ASSERT(holderCandidates(live) == after);
    }

    void sumsDemandWithBoundedFanIn()
    {
        base::manual_time_source time;
        for (const int size : {9, 370}) {
            const auto live = nodes(size);
            const base::node_id &planner = live[4];
            std::map<base::node_id, demand_tree> trees;
            std::map<base::node_id, int> children;
            for (const auto &node : live) {
                demand_tree &tree = trees.try_emplace(node, node).first->second;
                tree.setMembers(live, planner);
                tree.setLocalDemand({{item, 0.5}});
                if (tree.parent()) {
                    ++children[*tree.parent()];
                }
            }
            if (size == 9) {
                CPPUNIT_ASSERT_EQUAL(8, children.at(planner));
            }
            for (const auto &[node, count] : children) {
                CPPUNIT_ASSERT(count <= static_cast<int>(demand_tree::fanIn));
            }
            // With 370 nodes the tree has a depth of 3: 1 + 8 + 64 + 512.
            for (int round = 0; round < 3; ++round) {
                for (const auto &node : live) {
                    if (trees.at(node).parent()) {
                        CPPUNIT_ASSERT(trees.at(*trees.at(node).parent()).accept(node, trees.at(node).sum()));
                    }
                }
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5 * size, trees.at(planner).sum().at(item), 1e-9);
        }
    }

    void expiresOldSumsAndAvoidsCycles()
    {
        base::manual_time_source time;
        const auto live = nodes(9);
        demand_tree root(live[0]);
        root.setMembers(live, live[0]);
        CPPUNIT_ASSERT(root.accept(live[1], {{item, 1.0}}));
        time.advance(demand_tree::expiry);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, root.sum().at(item), 1e-9);
        time.advance(base::milliseconds(1));
        CPPUNIT_ASSERT(root.sum().empty());
        // Two nodes that each consider the other one the planner must not both accept the sums of the other.
        demand_tree other(live[1]);
        root.setMembers(live, live[1]);
        other.setMembers(live, live[0]);
        CPPUNIT_ASSERT(!root.accept(live[1], {{item, 1.0}}) || !other.accept(live[0], {{item, 1.0}}));
    }

    void assignsEveryEndpointToANode()
    {
        for (const auto &[nodeCount, poolSize] : std::vector<std::pair<int, int>>{{6, 3}, {9, 12}, {9, 100}, {9, 300}, {64, 30}, {370, 30}, {370, 1}}) {
            std::vector<zoned<base::node_id>> users;
            for (const auto &node : nodes(nodeCount)) {
                users.push_back({node, base::zone_id(std::string("z").append(std::to_string(base::hash64(node.value()) % 3)))});
            }
            std::vector<zoned<base::endpoint_id>> pool;
            pool.reserve(static_cast<std::size_t>(poolSize));
            for (int i = 0; i < poolSize; ++i) {
                pool.push_back({base::endpoint_id("engine-" + std::to_string(i)), base::zone_id(std::string("z").append(std::to_string(i % 3)))});
            }
            std::set<base::endpoint_id> used;
            const std::size_t bound = std::max(maxSubset, static_cast<std::size_t>((poolSize + nodeCount - 1) / nodeCount));
            for (const auto &user : users) {
                const auto subset = subsetFor(user.id, users, pool);
                CPPUNIT_ASSERT(subset.size() <= bound);
                CPPUNIT_ASSERT(subset.size() >= std::min(maxSubset, pool.size()));
                used.insert(subset.begin(), subset.end());
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(nodeCount) + " nodes", pool.size(), used.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(distribution_test);
