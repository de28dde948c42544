#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/adaptive_director.hpp>
#include <chervilbend/routing/endpoint_rate_limits.hpp>
#include <chervilbend/routing/rate_limit_allocator.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::routing::test
{

using base::milliseconds;

inline constexpr milliseconds stepLength{5};
inline constexpr milliseconds reportInterval{250};
inline constexpr milliseconds urgentInterval{50};
/// One way of a message between two nodes.
inline constexpr milliseconds messageDelay{10};
inline constexpr milliseconds serviceTime{100};
/// The window of the users' rule, and the excess over the endpoint's limit that it allows in it.
inline constexpr milliseconds ruleWindow{4'000};
inline constexpr double ruleFactor = 1.5;
inline constexpr double ruleExcess = 5;

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

} // namespace chervilbend::routing::test
