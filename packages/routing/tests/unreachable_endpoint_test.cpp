#include "director_driver.hpp"
#include "unreachable_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;
using namespace chervilbend::routing::test;
using base::milliseconds;

namespace
{

/// A director whose node learns from the lease holder which endpoints are unreachable.
struct informed_director {
    informed_director(base::manual_time_source &time, int endpoints, std::uint64_t seed = 7)
        : clock(time)
        , director(std::make_unique<adaptive_director>(seed, director_settings{}, knowledge))
    {
        knowledge.unreachable->onChange([this] { director->unreachableChanged(); });
        for (int i = 0; i < endpoints; ++i) {
            addEndpoint(unreachable_cluster::name(i));
        }
    }

    void addEndpoint(const std::string &id, std::int64_t startedAt = 1, const std::string &version = {})
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(id);
        facts.pools = {"m"};
        facts.startedAt = startedAt;
        facts.softwareVersion = base::software_version(version);
        director->setEndpoint(facts);
    }

    void list(const std::vector<std::string> &endpoints)
    {
        std::vector<endpoint_process> processes;
        processes.reserve(endpoints.size());
        for (const std::string &endpoint : endpoints) {
            processes.push_back(unreachable_cluster::process(endpoint));
        }
        // The answer arrives after the responses to the requests before it.
        clock.advance(milliseconds(5));
        knowledge.unreachable->setListed(processes, 1, base::clock::now());
        director->takeDispatches();
    }

    dispatch send()
    {
        base::reason why;
        const std::optional<request_handle> request = director->submit(director_driver::request(), why);
        const std::vector<dispatch> sent = director->takeDispatches();
        CPPUNIT_ASSERT(request && sent.size() == 1);
        return sent.front();
    }

    /// The endpoints that get @p count requests, each of which is answered in the same millisecond.
    std::set<std::string> usedEndpoints(int count)
    {
        std::set<std::string> used;
        for (int i = 0; i < count; ++i) {
            const dispatch sent = send();
            used.insert(sent.endpoint.value());
            director->firstByte(sent.request);
            director->finish(sent.request, request_outcome::answered);
        }
        return used;
    }

    base::manual_time_source &clock;
    cluster_knowledge knowledge;
    std::unique_ptr<adaptive_director> director;
};

using names = std::set<std::string>;

} // namespace

/// Guards against nodes that each send requests to a crashed endpoint until they have found out by themselves.
class unreachable_endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unreachable_endpoint_test);
    CPPUNIT_TEST(reportedEndpointGetsOnlyChecks);
    CPPUNIT_TEST(firstChecksAreSpread);
    CPPUNIT_TEST(responseEndsTheState);
    CPPUNIT_TEST(refusedRequestIsAResponse);
    CPPUNIT_TEST(failedCheckIsAnOwnFinding);
    CPPUNIT_TEST(newProcessIsUsed);
    CPPUNIT_TEST(lastEndpointIsUsed);
    CPPUNIT_TEST(substituteMustBeUsable);
    CPPUNIT_TEST(lastEndpointOfAVersionIsUsed);
    CPPUNIT_TEST(silentHolderIsForgotten);
    CPPUNIT_TEST(allNodesAvoidACrashedEndpoint);
    CPPUNIT_TEST(sharingSparesRequests);
    CPPUNIT_TEST(manyReportsAreCheckedSoon);
    CPPUNIT_TEST(cutOffNodeRemovesNoEndpoint);
    CPPUNIT_TEST(restartedEndpointIsUsedByAll);
    CPPUNIT_TEST(changeOfHolderKeepsTheReports);
    CPPUNIT_TEST(nodesGoOnWithoutAHolder);
    CPPUNIT_TEST(disabledNodeChangesNothing);
    CPPUNIT_TEST(failureOfTheNodeItselfIsNotReported);
    CPPUNIT_TEST(newProcessIsNotBlamedForTheOldOne);
    CPPUNIT_TEST(endedReportLetsAnotherTakeEffect);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportedEndpointGetsOnlyChecks()
    {
        base::manual_time_source clock;
        informed_director node(clock, 3);
        CPPUNIT_ASSERT((node.usedEndpoints(50) == names{"e0", "e1", "e2"}));
        node.list({"e0"});
        CPPUNIT_ASSERT((node.usedEndpoints(50) == names{"e1", "e2"}));
    }

    /// Guards against all nodes that check an endpoint in the same moment, because they have learned of it in the same moment.
    void firstChecksAreSpread()
    {
        constexpr int nodeCount = 62;
        base::manual_time_source clock;
        std::vector<std::unique_ptr<informed_director>> nodes;
        for (int i = 0; i < nodeCount; ++i) {
            nodes.push_back(std::make_unique<informed_director>(clock, 2, static_cast<std::uint64_t>(i + 1)));
            nodes.back()->list({"e0"});
        }
        std::set<std::size_t> checked;
        for (int tenth = 0; tenth < 10; ++tenth) {
            clock.advance(milliseconds(100));
            std::size_t checks = 0;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (!checked.contains(i) && nodes[i]->usedEndpoints(1) == names{"e0"}) {
                    checked.insert(i);
                    ++checks;
                }
            }
            CPPUNIT_ASSERT_MESSAGE("checks within 0.1 s: " + std::to_string(checks), checks <= nodeCount / 3);
        }
        CPPUNIT_ASSERT(checked.size() >= nodeCount - 2);
    }

    void responseEndsTheState()
    {
        base::manual_time_source clock;
        informed_director node(clock, 2);
        std::vector<dispatch> open;
        while (open.empty() || open.back().endpoint.value() != "e0") {
            open.push_back(node.send());
        }
        node.list({"e0"});
        CPPUNIT_ASSERT((node.usedEndpoints(20) == names{"e1"}));
        node.director->firstByte(open.back().request);
        CPPUNIT_ASSERT((node.usedEndpoints(40) == names{"e0", "e1"}));
        clock.advance(milliseconds(250));
        node.list({"e0"});
        CPPUNIT_ASSERT_MESSAGE("reports from before the response", (node.usedEndpoints(40) == names{"e0", "e1"}));
        clock.advance(milliseconds(250));
        node.list({});
        clock.advance(milliseconds(250));
        node.list({"e0"});
        CPPUNIT_ASSERT_MESSAGE("new reports", (node.usedEndpoints(20) == names{"e1"}));
    }

    /// Guards against an endpoint that stays unused although it answers, because it refuses the requests of the checks.
    void refusedRequestIsAResponse()
    {
        base::manual_time_source clock;
        informed_director node(clock, 2);
        dispatch open;
        while (open.endpoint.value() != "e0") {
            open = node.send();
        }
        node.list({"e0"});
        CPPUNIT_ASSERT((node.usedEndpoints(20) == names{"e1"}));
        endpoint_notice notice;
        notice.isRefusal = true;
        node.director->noteAnswer(open.request, notice);
        CPPUNIT_ASSERT((node.usedEndpoints(40) == names{"e0", "e1"}));
    }

    void failedCheckIsAnOwnFinding()
    {
        base::manual_time_source clock;
        informed_director node(clock, 2);
        node.list({"e0"});
        clock.advance(milliseconds(1'000));
        const dispatch check = node.send();
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), check.endpoint.value());
        base::reason why;
        CPPUNIT_ASSERT(node.director->retry(check.request, request_outcome::notSent, why));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), node.director->takeDispatches().front().endpoint.value());
        CPPUNIT_ASSERT(node.knowledge.unreachable->own() == std::vector{unreachable_cluster::process("e0")});
        CPPUNIT_ASSERT((node.usedEndpoints(20) == names{"e1"}));
    }

    void newProcessIsUsed()
    {
        base::manual_time_source clock;
        informed_director node(clock, 2);
        node.list({"e0"});
        CPPUNIT_ASSERT((node.usedEndpoints(20) == names{"e1"}));
        node.addEndpoint("e0", 2);
        CPPUNIT_ASSERT((node.usedEndpoints(40) == names{"e0", "e1"}));
    }

    /// Guards against a pool that loses all endpoints by what others say, for instance nodes that are cut off together.
    void lastEndpointIsUsed()
    {
        base::manual_time_source clock;
        informed_director single(clock, 1);
        single.list({"e0"});
        CPPUNIT_ASSERT((single.usedEndpoints(20) == names{"e0"}));
        informed_director several(clock, 3);
        several.list({"e2"});
        CPPUNIT_ASSERT((several.usedEndpoints(20) == names{"e0", "e1"}));
        several.list({"e0", "e1", "e2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), several.usedEndpoints(50).size());
    }

    void substituteMustBeUsable()
    {
        base::manual_time_source clock;
        informed_director node(clock, 2);
        node.list({"e0"});
        const dispatch sent = node.send();
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), sent.endpoint.value());
        base::reason why;
        CPPUNIT_ASSERT(node.director->retry(sent.request, request_outcome::notSent, why));
        const std::vector<dispatch> again = node.director->takeDispatches();
        CPPUNIT_ASSERT_MESSAGE("the other one is down", again.size() == 1 && again.front().endpoint.value() == "e0");
        informed_director pausing(clock, 2);
        endpoint_notice notice;
        notice.pause = milliseconds(5'000);
        dispatch paused;
        while (paused.endpoint.value() != "e1") {
            paused = pausing.send();
        }
        pausing.director->noteAnswer(paused.request, notice);
        pausing.list({"e0"});
        CPPUNIT_ASSERT_MESSAGE("the other one has asked for a pause", (pausing.usedEndpoints(5) == names{"e0"}));
    }

    /// Guards against streams that cannot be continued because of other nodes' reports.
    void lastEndpointOfAVersionIsUsed()
    {
        base::manual_time_source clock;
        informed_director node(clock, 0);
        node.addEndpoint("e0", 1, "v1");
        node.addEndpoint("e1", 1, "v2");
        node.addEndpoint("e2", 1, "v2");
        node.list({"e0", "e1"});
        CPPUNIT_ASSERT((node.usedEndpoints(50) == names{"e0", "e2"}));
    }

    void silentHolderIsForgotten()
    {
        base::manual_time_source clock;
        informed_director node(clock, 2);
        node.list({"e0"});
        clock.advance(milliseconds(3'001));
        node.director->takeDispatches();
        CPPUNIT_ASSERT(!node.knowledge.unreachable->isReported(unreachable_cluster::process("e0")));
        CPPUNIT_ASSERT((node.usedEndpoints(40) == names{"e0", "e1"}));
    }

    void allNodesAvoidACrashedEndpoint()
    {
        unreachable_cluster cluster(nodeCount, endpointCount, true);
        cluster.run(milliseconds(3'000), usualRate);
        cluster.crash("e0");
        cluster.run(milliseconds(2'000), usualRate);
        for (const auto &node : cluster.nodes) {
            CPPUNIT_ASSERT(node.knowledge.unreachable->isReported(unreachable_cluster::process("e0")));
        }
    }

    /// Guards against recovery checks of all nodes that cost more requests than the failure itself.
    void sharingSparesRequests()
    {
        for (const double rate : {0.5, 2.0, 8.0, 32.0}) {
            std::array<int, 2> refused{};
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                for (const bool isSharing : {false, true}) {
                    unreachable_cluster cluster(nodeCount, endpointCount, isSharing, seed);
                    cluster.run(milliseconds(6'000), rate);
                    cluster.crash("e0");
                    cluster.run(milliseconds(10'000), rate);
                    refused.at(isSharing ? 1 : 0) += cluster.refused;
                }
            }
            const std::string text = std::to_string(rate) + " requests/s a node: " + std::to_string(refused[0]) + " met a refused connection without sharing, "
                + std::to_string(refused[1]) + " with it";
            std::cout << "unreachable_endpoint_test " << text << '\n';
            // Nodes with few requests would seldom choose the endpoint anyway.
            CPPUNIT_ASSERT_MESSAGE(text, rate < 2 ? refused[1] <= 1.25 * refused[0] : 3 * refused[1] <= refused[0]);
        }
    }

    /// Guards against a large part of a pool that stays unused because a few nodes that are cut off have reported it.
    void manyReportsAreCheckedSoon()
    {
        constexpr int reported = 16;
        base::manual_time_source clock;
        informed_director node(clock, endpointCount);
        node.director->setNodeCount(nodeCount);
        std::vector<std::string> endpoints;
        endpoints.reserve(reported);
        for (int i = 0; i < reported; ++i) {
            endpoints.push_back(unreachable_cluster::name(i));
        }
        node.list({endpoints.front()});
        node.list(endpoints);
        std::set<std::string> used;
        for (int tenth = 0; tenth < 11; ++tenth) {
            clock.advance(milliseconds(100));
            used.merge(node.usedEndpoints(reported));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(endpointCount), used.size());
    }

    void cutOffNodeRemovesNoEndpoint()
    {
        unreachable_cluster cluster(nodeCount, endpointCount, true);
        cluster.run(milliseconds(3'000), usualRate);
        cluster.nodes[5].isCutOff = true;
        cluster.attempts.clear();
        for (int i = 0; i < 100; ++i) {
            cluster.run(milliseconds(100), usualRate);
            for (const auto &node : cluster.nodes) {
                CPPUNIT_ASSERT(!node.knowledge.unreachable->hasReported());
            }
        }
        CPPUNIT_ASSERT_MESSAGE("the node reports", cluster.nodes[5].knowledge.unreachable->own().size() > 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(endpointCount), cluster.attempts.size());
        CPPUNIT_ASSERT_EQUAL(0, cluster.refused);
    }

    void restartedEndpointIsUsedByAll()
    {
        unreachable_cluster cluster(nodeCount, endpointCount, true);
        cluster.run(milliseconds(3'000), usualRate);
        cluster.crash("e0");
        cluster.run(milliseconds(3'000), usualRate);
        const int before = cluster.attempts["e0"];
        cluster.run(milliseconds(1'000), usualRate);
        const int whileDown = cluster.attempts["e0"] - before;
        cluster.start("e0", 2);
        cluster.attempts.clear();
        cluster.refused = 0;
        cluster.run(milliseconds(1'000), usualRate);
        const int usual = std::max(1, cluster.attempts["e1"]);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.attempts["e0"]) + " requests, the next endpoint " + std::to_string(usual),
                               cluster.attempts["e0"] >= usual / 2 && cluster.attempts["e0"] > whileDown);
        CPPUNIT_ASSERT_EQUAL(0, cluster.refused);
    }

    /// Guards against a new holder that, before it has the reports of the nodes, returns the endpoint to use, or that is satisfied with one report.
    void changeOfHolderKeepsTheReports()
    {
        unreachable_cluster cluster(nodeCount, endpointCount, true);
        cluster.run(milliseconds(3'000), usualRate);
        cluster.nodes[5].isCutOff = true;
        cluster.run(milliseconds(2'000), usualRate);
        cluster.crash("e0");
        cluster.run(milliseconds(3'000), usualRate);
        cluster.setHolder(1);
        for (int i = 0; i < 60; ++i) {
            cluster.run(milliseconds(50), usualRate);
            for (const auto &node : cluster.nodes) {
                CPPUNIT_ASSERT(node.knowledge.unreachable->isReported(unreachable_cluster::process("e0")));
                for (int other = 1; other < endpointCount; ++other) {
                    CPPUNIT_ASSERT(!node.knowledge.unreachable->isReported(unreachable_cluster::process(unreachable_cluster::name(other))));
                }
            }
        }
    }

    void nodesGoOnWithoutAHolder()
    {
        unreachable_cluster cluster(nodeCount, endpointCount, true);
        cluster.run(milliseconds(3'000), usualRate);
        cluster.crash("e0");
        cluster.run(milliseconds(2'000), usualRate);
        cluster.setHolder(std::nullopt);
        cluster.run(milliseconds(3'500), usualRate);
        for (const auto &node : cluster.nodes) {
            CPPUNIT_ASSERT(!node.knowledge.unreachable->isReported(unreachable_cluster::process("e0")));
        }
        cluster.attempts.clear();
        cluster.run(milliseconds(2'000), usualRate);
        CPPUNIT_ASSERT_MESSAGE("own findings hold", cluster.attempts["e0"] < cluster.attempts["e1"] && cluster.attempts["e0"] <= 3 * nodeCount);
    }

    /// Guards against a node without free descriptors that takes all endpoints away from the others.
    void failureOfTheNodeItselfIsNotReported()
    {
        base::manual_time_source time;
        informed_director node(time, 1);
        node.director->finish(node.send().request, request_outcome::notAttempted);
        CPPUNIT_ASSERT(node.knowledge.unreachable->own().empty());
        time.advance(milliseconds(1'000));
        node.director->finish(node.send().request, request_outcome::notSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), node.knowledge.unreachable->own().size());
    }

    /// An attempt that ends after the endpoint has started again says nothing about the new process.
    void newProcessIsNotBlamedForTheOldOne()
    {
        base::manual_time_source time;
        informed_director node(time, 1);
        const dispatch sent = node.send();
        node.addEndpoint(unreachable_cluster::name(0), 2);
        node.director->finish(sent.request, request_outcome::notSent);
        CPPUNIT_ASSERT(node.knowledge.unreachable->own().empty());
    }

    /// The report about one endpoint ends with the answer that brings the report about the other.
    void endedReportLetsAnotherTakeEffect()
    {
        base::manual_time_source time;
        informed_director node(time, 2);
        node.list({unreachable_cluster::name(1)});
        node.list({unreachable_cluster::name(0)});
        CPPUNIT_ASSERT(node.usedEndpoints(50) == names{unreachable_cluster::name(1)});
    }

    /// Guards deployments without the setting against reports of others and against reports of their own.
    void disabledNodeChangesNothing()
    {
        base::manual_time_source time;
        informed_director node(time, 2);
        node.knowledge.unreachable->setEnabled(false);
        node.list({unreachable_cluster::name(0)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), node.usedEndpoints(50).size());
        node.knowledge.unreachable->noteRefusedConnection(unreachable_cluster::process(unreachable_cluster::name(0)));
        CPPUNIT_ASSERT(node.knowledge.unreachable->own().empty());
    }

private:
    static constexpr int nodeCount = 62;
    static constexpr int endpointCount = 20;
    /// Requests per second of each node.
    static constexpr double usualRate = 32;
};

CPPUNIT_TEST_SUITE_REGISTRATION(unreachable_endpoint_test);
