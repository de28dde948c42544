#include "limited_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;
using namespace chervilbend::routing::test;

/// Guards against an endpoint that gets more requests than it allows from all nodes together, and against limited endpoints that lie idle while there is
/// demand for them.
class rate_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_limit_test);
    CPPUNIT_TEST(sumOverTheNodesKeepsTheLimit);
    CPPUNIT_TEST(limitBelowOneRequestANodeIsUsed);
    CPPUNIT_TEST(demandGoesToEndpointsWithoutLimit);
    CPPUNIT_TEST(excessIsRefusedAtOnce);
    CPPUNIT_TEST(changeOfTheAllocatorKeepsTheLimit);
    CPPUNIT_TEST(limitedEndpointGetsNothingWithoutAnAllocator);
    CPPUNIT_TEST(endOfTheLimitIsNoticed);
    CPPUNIT_TEST(otherNodesLearnOfTheLimit);
    CPPUNIT_TEST(unusedGrantsAreGivenBack);
    CPPUNIT_TEST(newProcessHasNoLimit);
    CPPUNIT_TEST(queuedRequestIsAskedForBeforeItIsRefused);
    CPPUNIT_TEST(waitingRequestGetsTheEndpointWithMostLeft);
    CPPUNIT_TEST_SUITE_END();

    static void assertWithinLimits(const limited_cluster &cluster, base::time_point since)
    {
        for (const limited_server &server : cluster.servers) {
            if (server.requestRate) {
                const auto most = static_cast<double>(limited_cluster::mostInWindow(server, since));
                const double allowed = limited_cluster::allowedInWindow(*server.requestRate);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s, allowed " + std::to_string(allowed), most <= allowed);
            }
        }
    }

    /// Arrivals per second from @p since on as a share of the limit.
    static double usedShare(const limited_server &server, base::time_point since)
    {
        const double seconds = static_cast<double>((base::clock::now() - since).count()) / 1'000;
        return static_cast<double>(limited_cluster::arrivalsSince(server, since)) / seconds / *server.requestRate;
    }

public:
    void sumOverTheNodesKeepsTheLimit()
    {
        for (const std::size_t nodes : {6U, 83U}) {
            limited_cluster cluster(nodes, {{"a", 60, {0, 1}}, {"b", 30, {1, 2}}}, {1, 8, 10.5});
            cluster.run(milliseconds(1'000));
            const base::time_point since = base::clock::now();
            cluster.run(milliseconds(20'000));
            assertWithinLimits(cluster, since);
            for (const limited_server &server : cluster.servers) {
                const double used = usedShare(server, since);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes use " + std::to_string(used) + " of the limit", used >= 0.7);
            }
        }
    }

    /// Each of 83 nodes has a request only every 20 s, so that no node has a share that it could use.
    void limitBelowOneRequestANodeIsUsed()
    {
        limited_cluster cluster(83, {{"rare", 4, {0}}}, {2});
        cluster.run(milliseconds(3'000));
        const base::time_point since = base::clock::now();
        cluster.run(milliseconds(30'000));
        assertWithinLimits(cluster, since);
        const double used = usedShare(cluster.servers[0], since);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used) + " of the limit is used", used >= 0.7);
    }

    void demandGoesToEndpointsWithoutLimit()
    {
        limited_cluster cluster(6, {{"a", 60, {0, 1}}}, {2, std::nullopt});
        cluster.run(milliseconds(20'000));
        assertWithinLimits(cluster, base::time_point{});
        CPPUNIT_ASSERT_EQUAL(0, cluster.refused);
    }

    void excessIsRefusedAtOnce()
    {
        limited_cluster cluster(6, {{"a", 40, {0}}}, {2});
        cluster.run(milliseconds(10'000));
        CPPUNIT_ASSERT(cluster.refused > 300);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.longestWaitOfRefused.count()) + " ms", cluster.longestWaitOfRefused <= milliseconds(120));
    }

    /// The holder's lease ends, its last holder goes on for a while, and another node acquires the lease.
    void changeOfTheAllocatorKeepsTheLimit()
    {
        limited_cluster cluster(24, {{"a", 60, {0, 1}}}, {1, 10});
        cluster.run(milliseconds(1'000));
        const base::time_point since = base::clock::now();
        for (int round = 0; round < 6; ++round) {
            cluster.setAllocator(0);
            cluster.run(milliseconds(3'000));
            cluster.setAllocator(0, false);
            cluster.run(milliseconds(1'500));
            cluster.setAllocator(1);
            cluster.run(milliseconds(3'000));
            cluster.setAllocator(std::nullopt);
            cluster.run(milliseconds(700));
        }
        assertWithinLimits(cluster, since);
    }

    void limitedEndpointGetsNothingWithoutAnAllocator()
    {
        limited_cluster cluster(6, {{"a", 40, {0}}}, {8});
        cluster.run(milliseconds(4'000));
        cluster.setAllocator(std::nullopt);
        cluster.run(endpoint_rate_limits::grantLifetime);
        const base::time_point since = base::clock::now();
        cluster.run(milliseconds(4'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), limited_cluster::arrivalsSince(cluster.servers[0], since));
        CPPUNIT_ASSERT(cluster.longestWaitOfRefused <= milliseconds(120));
    }

    void endOfTheLimitIsNoticed()
    {
        limited_cluster cluster(6, {{"a", 40, {0}}}, {2});
        cluster.run(milliseconds(5'000));
        cluster.servers[0].requestRate.reset();
        cluster.run(milliseconds(2'000));
        const int refused = cluster.refused;
        cluster.run(milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(refused, cluster.refused);
    }

    void otherNodesLearnOfTheLimit()
    {
        const base::manual_time_source clock;
        const endpoint_process process{base::endpoint_id("e0"), 1};
        rate_limit_allocator allocator(11);
        endpoint_rate_limits first;
        endpoint_rate_limits second;
        first.noteAnswer(process, 3.0);
        exchange(first, allocator);
        CPPUNIT_ASSERT(second.maySend(process));
        exchange(second, allocator);
        CPPUNIT_ASSERT(second.isLimited(process) && !second.maySend(process));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), allocator.limitedEndpoints());
    }

    void unusedGrantsAreGivenBack()
    {
        base::manual_time_source clock;
        const endpoint_process process{base::endpoint_id("e0"), 1};
        rate_limit_allocator allocator(11);
        endpoint_rate_limits first;
        endpoint_rate_limits second;
        first.noteAnswer(process, 1.0);
        first.noteWaiting({process});
        exchange(first, allocator);
        CPPUNIT_ASSERT(first.maySend(process));
        exchange(second, allocator);
        second.noteWaiting({process});
        exchange(second, allocator);
        CPPUNIT_ASSERT_MESSAGE("the only request of this second is granted already", !second.maySend(process));
        exchange(first, allocator);
        CPPUNIT_ASSERT(!first.maySend(process));
        second.noteWaiting({process});
        exchange(second, allocator);
        CPPUNIT_ASSERT(second.maySend(process));
        second.noteSent(process);
        CPPUNIT_ASSERT(!second.maySend(process));
        clock.advance(milliseconds(1'000));
        second.noteWaiting({process});
        exchange(second, allocator);
        CPPUNIT_ASSERT(second.maySend(process));
        clock.advance(endpoint_rate_limits::grantLifetime);
        CPPUNIT_ASSERT_MESSAGE("grants are void after their lifetime", !second.maySend(process));
    }

    void newProcessHasNoLimit()
    {
        endpoint_rate_limits limits;
        limits.noteAnswer({base::endpoint_id("e0"), 1}, 3.0);
        CPPUNIT_ASSERT(!limits.maySend({base::endpoint_id("e0"), 1}));
        CPPUNIT_ASSERT(limits.maySend({base::endpoint_id("e0"), 2}));
    }

    /// The request waits for room at an endpoint, which names a limit meanwhile; reports of before say nothing of it.
    void queuedRequestIsAskedForBeforeItIsRefused()
    {
        const base::manual_time_source clock;
        const auto limits = std::make_shared<endpoint_rate_limits>();
        int asked = 0;
        limits->onGrantsWanted([&] { ++asked; });
        director_settings settings;
        settings.slotFactor = 1;
        adaptive_director director(1, settings, cluster_knowledge{.rateLimits = limits});
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id("e0");
        facts.pools = {"m"};
        facts.slots = 1;
        director.setEndpoint(facts);
        request_facts request;
        request.pool = std::string(1, 'm');
        request.deadline = base::clock::now() + milliseconds(10'000);
        base::reason why;
        const request_handle running = director.submit(request, why).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), director.takeDispatches().size());
        const request_handle queued = director.submit(request, why).value();
        CPPUNIT_ASSERT(director.takeDispatches().empty());
        endpoint_notice notice;
        notice.requestRate = 2;
        director.noteAnswer(running, notice);
        limits->noteUnanswered(limits->takeReport());
        director.finish(running, request_outcome::answered);
        CPPUNIT_ASSERT(director.takeDispatches().empty());
        CPPUNIT_ASSERT_EQUAL(1, asked);
        CPPUNIT_ASSERT(director.takeRefusals().empty());
        const rate_limit_report report = limits->takeReport();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.waiting.size());
        rate_limit_allocator allocator(11);
        rate_limit_report statement;
        statement.statements.push_back({{facts.endpoint, 0}, 2.0, milliseconds(0)});
        allocator.answer(statement, true);
        limits->apply(report, allocator.answer(report, true), base::clock::now());
        director.rateLimitsChanged();
        const std::vector<dispatch> sent = director.takeDispatches();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        CPPUNIT_ASSERT_EQUAL(queued, sent[0].request);
    }

    void waitingRequestGetsTheEndpointWithMostLeft()
    {
        base::manual_time_source clock;
        const endpoint_process slow{base::endpoint_id("e0"), 1};
        const endpoint_process fast{base::endpoint_id("e1"), 1};
        rate_limit_allocator allocator(11);
        endpoint_rate_limits limits;
        limits.noteAnswer(slow, 0.5);
        limits.noteAnswer(fast, 1);
        exchange(limits, allocator);
        clock.advance(milliseconds(900));
        for (int i = 0; i < 2; ++i) {
            limits.noteWaiting({slow, fast});
        }
        const rate_limit_report report = limits.takeReport();
        const rate_limit_answer answer = allocator.answer(report, true);
        CPPUNIT_ASSERT_EQUAL(1, answer.granted.at(fast));
        CPPUNIT_ASSERT_EQUAL(1, answer.granted.at(slow));
    }

private:
    static void exchange(endpoint_rate_limits &limits, rate_limit_allocator &allocator)
    {
        const rate_limit_report report = limits.takeReport();
        limits.apply(report, allocator.answer(report, true), base::clock::now());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_limit_test);
