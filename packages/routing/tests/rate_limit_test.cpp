#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/adaptive_director.hpp>
#include <chervilbend/routing/endpoint_rate_limits.hpp>
#include <chervilbend/routing/rate_limit_allocator.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;

namespace
{

using base::milliseconds;

constexpr milliseconds stepLength{5};
constexpr milliseconds reportInterval{250};
constexpr milliseconds urgentInterval{50};
/// One way of a message between two nodes.
constexpr milliseconds messageDelay{10};
constexpr milliseconds serviceTime{100};
/// The window of the users' rule, and the excess over the endpoint's limit that it allows in it.
constexpr milliseconds ruleWindow{4'000};
constexpr double ruleFactor = 1.5;
constexpr double ruleExcess = 5;

struct limited_pool {
    std::string name;
    /// Requests per second that callers send to all nodes.
    double demand = 0;
    /// The endpoints that serve it, by index.
    std::vector<std::size_t> endpoints;
};

/// An endpoint that names its limit from the beginning, and counts the requests that reach it from nodes that it has told.
struct limited_server {
    std::optional<double> requestRate;
    std::vector<base::time_point> arrivals;
};

struct simulated_node {
    std::unique_ptr<adaptive_director> director;
    std::shared_ptr<endpoint_rate_limits> limits;
    base::time_point reportsAt;
    base::time_point urgentAfter;
    bool isUrgent = false;
};

/// Requests and messages that are on their way.
struct pending_event {
    base::time_point at;
    std::function<void()> run;
};

/// Nodes that share endpoints, with one of them as the allocator, in virtual time.
class limited_cluster
{
public:
    limited_cluster(std::size_t nodeCount, std::vector<limited_pool> pools, const std::vector<std::optional<double>> &rates)
        : m_pools(std::move(pools))
    {
        for (const std::optional<double> &rate : rates) {
            servers.push_back({rate, {}});
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            simulated_node &node = m_nodes.emplace_back();
            node.limits = std::make_shared<endpoint_rate_limits>();
            node.director = std::make_unique<adaptive_director>(i + 1, director_settings{}, cluster_knowledge{.rateLimits = node.limits});
            node.director->setNodeCount(static_cast<int>(nodeCount));
            node.reportsAt = base::clock::now() + reportInterval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(nodeCount);
            node.limits->onGrantsWanted([&node] { node.isUrgent = true; });
            for (std::size_t e = 0; e < rates.size(); ++e) {
                node.director->setEndpoint(factsOf(e));
            }
        }
    }

    void run(milliseconds duration)
    {
        const base::time_point end = base::clock::now() + duration;
        while (base::clock::now() < end) {
            m_clock.advance(stepLength);
            runEvents();
            for (const limited_pool &pool : m_pools) {
                submitRequests(pool);
            }
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                report(i);
                takeDecisions(i);
            }
        }
    }

    /// The most arrivals in any window of the rule, from @p since on.
    static std::size_t mostInWindow(const limited_server &server, base::time_point since)
    {
        std::size_t most = 0;
        std::deque<base::time_point> window;
        for (const base::time_point at : server.arrivals) {
            if (at < since) {
                continue;
            }
            window.push_back(at);
            while (at - window.front() > ruleWindow) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    static double allowedInWindow(double rate)
    {
        return ruleFactor * rate * static_cast<double>(ruleWindow.count()) / 1'000 + ruleExcess;
    }

    static std::size_t arrivalsSince(const limited_server &server, base::time_point since)
    {
        return static_cast<std::size_t>(std::count_if(server.arrivals.begin(), server.arrivals.end(), [&](base::time_point at) { return at >= since; }));
    }

    /// @p allocator answers the reports from now on; no value for none.
    void setAllocator(std::optional<std::size_t> allocator, bool holdsLease = true)
    {
        m_allocator = allocator;
        m_holdsLease = holdsLease;
    }

    base::manual_time_source m_clock;
    std::vector<limited_server> servers;
    int refused = 0;
    milliseconds longestWaitOfRefused{0};

private:
    static std::string nameOf(std::size_t index)
    {
        return std::string(1, 'e').append(std::to_string(index));
    }

    endpoint_facts factsOf(std::size_t index) const
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(nameOf(index));
        facts.slots = 24;
        facts.startedAt = 1;
        for (const limited_pool &pool : m_pools) {
            if (std::find(pool.endpoints.begin(), pool.endpoints.end(), index) != pool.endpoints.end()) {
                facts.pools.insert(pool.name);
            }
        }
        return facts;
    }

    void later(milliseconds delay, std::function<void()> run)
    {
        m_events.push_back({base::clock::now() + delay, std::move(run)});
    }

    void runEvents()
    {
        for (std::size_t i = 0; i < m_events.size();) {
            if (m_events[i].at <= base::clock::now()) {
                const std::function<void()> run = std::move(m_events[i].run);
                m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(i));
                run();
            } else {
                ++i;
            }
        }
    }

    void submitRequests(const limited_pool &pool)
    {
        std::bernoulli_distribution arrives(pool.demand * static_cast<double>(stepLength.count()) / 1'000);
        if (!arrives(m_random)) {
            return;
        }
        const std::size_t node = std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
        request_facts facts;
        facts.pool = pool.name;
        facts.deadline = base::clock::now() + milliseconds(10'000);
        facts.maxTokens = base::token_count(10);
        base::reason why;
        const std::optional<request_handle> request = m_nodes[node].director->submit(facts, why);
        CPPUNIT_ASSERT(request);
        m_submitted[{node, *request}] = base::clock::now();
    }

    void takeDecisions(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        for (const dispatch &sent : node.director->takeDispatches()) {
            const auto server = static_cast<std::size_t>(std::stoi(sent.endpoint.value().substr(1)));
            if (node.limits->isLimited({sent.endpoint, 1})) {
                servers[server].arrivals.push_back(base::clock::now());
            }
            later(serviceTime, [this, index, server, request = sent.request] {
                adaptive_director &director = *m_nodes[index].director;
                endpoint_notice notice;
                notice.requestRate = servers[server].requestRate;
                director.noteAnswer(request, notice);
                director.firstByte(request);
                director.finish(request, request_outcome::answered);
            });
        }
        for (const refusal &each : node.director->takeRefusals()) {
            CPPUNIT_ASSERT(each.why.kind == base::error_kind::overloaded);
            ++refused;
            longestWaitOfRefused = std::max(longestWaitOfRefused, base::clock::now() - m_submitted.at({index, each.request}));
        }
    }

    void report(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        const base::time_point now = base::clock::now();
        const bool isUrgentDue = node.isUrgent && now >= node.urgentAfter;
        if (now < node.reportsAt && !isUrgentDue) {
            return;
        }
        node.reportsAt = now < node.reportsAt ? node.reportsAt : now + reportInterval;
        node.urgentAfter = now + urgentInterval;
        node.isUrgent = false;
        const rate_limit_report sent = node.limits->takeReport();
        if (!m_allocator) {
            later(messageDelay, [this, index, sent] {
                m_nodes[index].limits->noteUnanswered(sent);
                m_nodes[index].director->rateLimitsChanged();
            });
            return;
        }
        later(messageDelay, [this, index, sent, now] {
            const rate_limit_answer answer = m_allocators[m_allocator.value_or(0)].answer(sent, m_holdsLease);
            later(messageDelay, [this, index, sent, answer, now] {
                m_nodes[index].limits->apply(sent, answer, now);
                m_nodes[index].director->rateLimitsChanged();
            });
        });
    }

    std::vector<limited_pool> m_pools;
    std::deque<simulated_node> m_nodes;
    std::vector<rate_limit_allocator> m_allocators{rate_limit_allocator(11), rate_limit_allocator(12)};
    std::optional<std::size_t> m_allocator = 0;
    bool m_holdsLease = true;
    std::vector<pending_event> m_events;
    std::map<std::pair<std::size_t, request_handle>, base::time_point> m_submitted;
    std::mt19937_64 m_random{1};
};

} // namespace

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
