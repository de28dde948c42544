#include "director_driver.hpp"

#include <chervilbend/routing/internal/slot_quota.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;
using base::milliseconds;

namespace
{

constexpr milliseconds stepLength{5};
constexpr milliseconds linkDelay{2};
constexpr milliseconds meanServiceTime{400};
constexpr milliseconds refusalWindow{1'000};
constexpr milliseconds restartTime{3'000};
/// How long after they have named their bound the endpoints let fewer requests wait.
constexpr milliseconds noticeTime{3'000};

/// An endpoint with some slots and a short queue, which fails when it has to refuse too many requests within a second.
struct brittle_server {
    std::int64_t startedAt = 1;
    int slots = 0;
    int queueLength = 0;
    /// Refusals within a second that it survives.
    int toleratedRefusals = 0;
    std::optional<base::time_point> downUntil;
    int running = 0;
    std::deque<std::function<void()>> queue;
    std::deque<base::time_point> refusals;
    int failures = 0;
};

struct brittle_settings {
    std::size_t nodes = 0;
    std::size_t servers = 0;
    int slots = 0;
    int toleratedRefusals = 0;
    /// Offered load as a share of what the slots can do.
    double load = 0;
};

/// Nodes that share brittle endpoints, in virtual time. Refusals count within each second at the endpoint, as seen from it.
class brittle_cluster
{
public:
    brittle_cluster(const brittle_settings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
        director_settings director;
        director.isolateSuspects = false;
        director.slotFactor = 2.5;
        for (std::size_t i = 0; i < settings.servers; ++i) {
            brittle_server &server = m_servers.emplace_back();
            server.slots = settings.slots;
            server.queueLength = 2 * settings.slots;
            server.toleratedRefusals = settings.toleratedRefusals;
        }
        for (std::size_t i = 0; i < settings.nodes; ++i) {
            m_nodes.push_back(std::make_unique<adaptive_director>(seed * 1'000 + i, director));
            m_nodes.back()->setNodeCount(static_cast<int>(settings.nodes));
            m_nodes.back()->setNodeRank(static_cast<int>(i));
            for (std::size_t server = 0; server < settings.servers; ++server) {
                m_nodes.back()->setEndpoint(factsOf(server));
            }
        }
    }

    void run(milliseconds duration)
    {
        const base::time_point start = base::clock::now();
        bool isShort = false;
        while (base::clock::now() - start < duration) {
            m_clock.advance(stepLength);
            if (!isShort && base::clock::now() - start >= noticeTime) {
                isShort = true;
                for (brittle_server &server : m_servers) {
                    server.queueLength = 1;
                }
            }
            restart();
            runEvents();
            submitRequests();
            for (std::size_t node = 0; node < m_nodes.size(); ++node) {
                takeDecisions(node);
            }
        }
    }

    int failures() const
    {
        int sum = 0;
        for (const brittle_server &server : m_servers) {
            sum += server.failures;
        }
        return sum;
    }

    int answered = 0;
    int refused = 0;

private:
    endpoint_facts factsOf(std::size_t index) const
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(std::string(1, 's').append(std::to_string(index)));
        facts.pools = {"m"};
        facts.slots = m_settings.slots;
        facts.startedAt = m_servers[index].startedAt;
        return facts;
    }

    void later(milliseconds delay, std::function<void()> run)
    {
        m_events.emplace(base::clock::now() + delay, std::move(run));
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= base::clock::now()) {
            const std::function<void()> run = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            run();
        }
    }

    void submitRequests()
    {
        const double capacity = static_cast<double>(m_settings.servers) * m_settings.slots * 1'000 / static_cast<double>(meanServiceTime.count());
        std::poisson_distribution<int> arrivals(m_settings.load * capacity * static_cast<double>(stepLength.count()) / 1'000);
        for (int i = arrivals(m_random); i > 0; --i) {
            request_facts facts = director_driver::request();
            facts.deadline = base::clock::now() + milliseconds(4'000);
            facts.repeatable = false;
            const std::size_t node = std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
            base::reason why;
            refused += m_nodes[node]->submit(facts, why) ? 0 : 1;
        }
    }

    void takeDecisions(std::size_t node)
    {
        for (const dispatch &sent : m_nodes[node]->takeDispatches()) {
            const auto server = static_cast<std::size_t>(std::stoi(sent.endpoint.value().substr(1)));
            later(linkDelay, [this, node, server, request = sent.request] { arrive(node, server, request); });
        }
        refused += static_cast<int>(m_nodes[node]->takeRefusals().size());
    }

    void arrive(std::size_t node, std::size_t index, request_handle request)
    {
        brittle_server &server = m_servers[index];
        if (server.downUntil) {
            later(linkDelay, [this, node, request] { retry(node, request, request_outcome::notSent); });
            return;
        }
        if (server.running < server.slots) {
            begin(node, index, request);
        } else if (server.queue.size() < static_cast<std::size_t>(server.queueLength)) {
            server.queue.emplace_back([this, node, index, request] { begin(node, index, request); });
        } else {
            refuse(node, index, request);
        }
    }

    void begin(std::size_t node, std::size_t index, request_handle request)
    {
        brittle_server &server = m_servers[index];
        ++server.running;
        std::exponential_distribution<double> serviceTime(1.0 / static_cast<double>(meanServiceTime.count()));
        const milliseconds duration(static_cast<std::int64_t>(serviceTime(m_random)) + 1);
        later(duration, [this, node, index, request, life = server.startedAt] {
            brittle_server &ending = m_servers[index];
            if (ending.startedAt != life) {
                m_nodes[node]->finish(request, request_outcome::connectionLost);
                return;
            }
            --ending.running;
            if (!ending.queue.empty()) {
                const std::function<void()> next = std::move(ending.queue.front());
                ending.queue.pop_front();
                next();
            }
            noteAnswer(node, request, false);
            m_nodes[node]->firstByte(request);
            m_nodes[node]->progress(request, base::token_count(10));
            m_nodes[node]->finish(request, request_outcome::answered);
            ++answered;
        });
    }

    void noteAnswer(std::size_t node, request_handle request, bool isRefusal)
    {
        endpoint_notice notice;
        notice.isRefusal = isRefusal;
        notice.toleratedRefusals = m_settings.toleratedRefusals;
        m_nodes[node]->noteAnswer(request, notice);
    }

    void refuse(std::size_t node, std::size_t index, request_handle request)
    {
        brittle_server &server = m_servers[index];
        const base::time_point now = base::clock::now();
        server.refusals.push_back(now);
        while (now - server.refusals.front() >= refusalWindow) {
            server.refusals.pop_front();
        }
        if (static_cast<int>(server.refusals.size()) > server.toleratedRefusals) {
            fail(index);
        }
        later(linkDelay, [this, node, request] {
            noteAnswer(node, request, true);
            retry(node, request, request_outcome::refused);
        });
    }

    void retry(std::size_t node, request_handle request, request_outcome outcome)
    {
        base::reason why;
        refused += m_nodes[node]->retry(request, outcome, why) ? 0 : 1;
    }

    void fail(std::size_t index)
    {
        brittle_server &server = m_servers[index];
        ++server.failures;
        ++server.startedAt;
        server.running = 0;
        server.queue.clear();
        server.refusals.clear();
        server.downUntil = base::clock::now() + restartTime;
    }

    void restart()
    {
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            brittle_server &server = m_servers[index];
            if (!server.downUntil || base::clock::now() < *server.downUntil) {
                continue;
            }
            server.downUntil.reset();
            for (const auto &node : m_nodes) {
                node->removeEndpoint(factsOf(index).endpoint);
                node->setEndpoint(factsOf(index));
            }
        }
    }

    brittle_settings m_settings;
    std::mt19937_64 m_random;
    base::manual_time_source m_clock;
    std::deque<brittle_server> m_servers;
    std::vector<std::unique_ptr<adaptive_director>> m_nodes;
    std::multimap<base::time_point, std::function<void()>> m_events;
};

} // namespace

/// Guards against endpoints that fail because they have to refuse more requests than they survive.
class brittle_endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(brittle_endpoint_test);
    CPPUNIT_TEST(smallFleetDoesNotBringThemDown);
    CPPUNIT_TEST(manyNodesDoNotBringThemDown);
    CPPUNIT_TEST(overloadDoesNotBringThemDown);
    CPPUNIT_TEST(slotsAreStillUsed);
    CPPUNIT_TEST(refusalPausesOnlyBrittleEndpoints);
    CPPUNIT_TEST(allSlotsAreDealt);
    CPPUNIT_TEST_SUITE_END();

    /// The users' bound on failures in one time in which the endpoints are brittle.
    static double allowedFailures(std::size_t servers)
    {
        return 2 + static_cast<double>(servers) / 10;
    }

    static void assertFewFailures(const brittle_settings &settings)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            brittle_cluster cluster(settings, seed);
            cluster.run(milliseconds(20'000));
            std::cout << "brittle_endpoint_test seed " << seed << ": " << settings.nodes << " nodes, " << cluster.failures() << " failures, "
                      << cluster.answered << " answered, " << cluster.refused << " refused\n";
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), cluster.failures() <= allowedFailures(settings.servers));
        }
    }

public:
    void smallFleetDoesNotBringThemDown()
    {
        assertFewFailures({6, 12, 24, 3, 0.9});
    }

    void manyNodesDoNotBringThemDown()
    {
        assertFewFailures({80, 60, 16, 3, 0.9});
    }

    void overloadDoesNotBringThemDown()
    {
        assertFewFailures({6, 12, 24, 3, 1.5});
        assertFewFailures({80, 60, 16, 3, 1.5});
    }

    /// Sending nothing would keep them up as well.
    void slotsAreStillUsed()
    {
        const brittle_settings settings{6, 12, 24, 3, 1.5};
        brittle_cluster cluster(settings, 1);
        cluster.run(milliseconds(20'000));
        const double possible = 12.0 * 24 * 20'000 / static_cast<double>(meanServiceTime.count());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.answered), cluster.answered >= 0.7 * possible);
    }

    void allSlotsAreDealt()
    {
        for (const int nodes : {1, 6, 80, 370}) {
            for (const int slots : {1, 16, 48}) {
                for (const std::uint64_t offset : {std::uint64_t{0}, std::uint64_t{7}, ~std::uint64_t{0}}) {
                    int sum = 0;
                    for (int rank = 0; rank < nodes; ++rank) {
                        sum += slotQuota(slots, nodes, rank, offset);
                    }
                    CPPUNIT_ASSERT_EQUAL(slots, sum);
                }
            }
        }
    }

    void refusalPausesOnlyBrittleEndpoints()
    {
        for (const bool isBrittle : {false, true}) {
            director_driver driver(1);
            driver.director.setNodeCount(6);
            const dispatch sent = driver.send(director_driver::request());
            endpoint_notice notice;
            notice.isRefusal = true;
            notice.toleratedRefusals = isBrittle ? std::optional<double>(3) : std::nullopt;
            driver.director.noteAnswer(sent.request, notice);
            driver.director.finish(sent.request, request_outcome::refused);
            CPPUNIT_ASSERT_EQUAL(isBrittle, driver.send(director_driver::request()).endpoint.empty());
            driver.clock.advance(milliseconds(60'000));
            CPPUNIT_ASSERT(!driver.send(director_driver::request()).endpoint.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(brittle_endpoint_test);
