#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/adaptive_director.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::routing::test
{

/// Nodes with directors that send requests to endpoints "e0", "e1" and so on, which serve the pool "m", in virtual time and without a network. Each node
/// reports to the holder four times a second.
class unreachable_cluster
{
public:
    using milliseconds = base::milliseconds;

    static constexpr milliseconds step{5};
    static constexpr milliseconds exchangeInterval{250};
    static constexpr milliseconds answerTime{50};

    struct simulated_node {
        cluster_knowledge knowledge;
        std::unique_ptr<adaptive_director> director;
        /// Reaches no endpoint.
        bool isCutOff = false;
        double nextArrivalMs = 0;
        base::time_point exchangesAt;
        std::multimap<base::time_point, request_handle> open;
    };

    unreachable_cluster(std::size_t nodeCount, int endpointCount, bool isSharing, std::uint64_t seed = 1)
        : m_isSharing(isSharing)
        , m_random(seed)
    {
        nodes.resize(nodeCount);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            simulated_node &node = nodes[i];
            node.director = std::make_unique<adaptive_director>(m_random(), director_settings{}, node.knowledge);
            node.director->setNodeCount(static_cast<int>(nodeCount));
            node.knowledge.unreachable->onChange([director = node.director.get()] { director->unreachableChanged(); });
            node.exchangesAt = base::clock::now() + exchangeInterval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(nodeCount);
        }
        for (int i = 0; i < endpointCount; ++i) {
            start(name(i), 1);
        }
    }

    static std::string name(int index)
    {
        return std::string("e").append(std::to_string(index));
    }

    /// The endpoint has a new process, which all nodes know and which accepts connections.
    void start(const std::string &endpoint, std::int64_t startedAt)
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(endpoint);
        facts.pools = {"m"};
        facts.slots = 64;
        facts.startedAt = startedAt;
        for (simulated_node &node : nodes) {
            node.director->setEndpoint(facts);
        }
        m_refusing.erase(endpoint);
    }

    void crash(const std::string &endpoint)
    {
        m_refusing.insert(endpoint);
    }

    /// The same process accepts connections again.
    void recover(const std::string &endpoint)
    {
        m_refusing.erase(endpoint);
    }

    /// Another node acquires the lease, or nobody has it.
    void setHolder(std::optional<std::size_t> node)
    {
        holder = node;
        if (node) {
            ++m_token;
            nodes.at(*node).knowledge.unreachableReports->start();
        }
    }

    /// Each node receives @p perSecond requests per second.
    void run(milliseconds duration, double perSecond)
    {
        const base::time_point end = base::clock::now() + duration;
        while (base::clock::now() < end) {
            clock.advance(step);
            for (simulated_node &node : nodes) {
                runStep(node, perSecond);
            }
        }
    }

    static endpoint_process process(const std::string &endpoint, std::int64_t startedAt = 1)
    {
        return {base::endpoint_id(endpoint), startedAt};
    }

    base::manual_time_source clock;
    std::vector<simulated_node> nodes;
    std::optional<std::size_t> holder = 0;
    /// Requests of nodes that are not cut off which met a refused connection.
    int refused = 0;
    /// Requests that these nodes have sent, by endpoint.
    std::map<std::string, int> attempts;

private:
    void runStep(simulated_node &node, double perSecond)
    {
        const base::time_point now = base::clock::now();
        if (m_isSharing && holder && now >= node.exchangesAt) {
            node.exchangesAt = now + exchangeInterval;
            exchange(node);
        }
        while (!node.open.empty() && node.open.begin()->first <= now) {
            const request_handle request = node.open.begin()->second;
            node.open.erase(node.open.begin());
            node.director->firstByte(request);
            node.director->progress(request, base::token_count(10));
            node.director->finish(request, request_outcome::answered);
        }
        for (node.nextArrivalMs -= static_cast<double>(step.count()); node.nextArrivalMs <= 0;
             node.nextArrivalMs += std::exponential_distribution<double>(perSecond / 1'000)(m_random)) {
            submit(node);
        }
        send(node);
        node.director->takeRefusals();
    }

    void submit(simulated_node &node)
    {
        request_facts facts;
        facts.pool = std::string(1, 'm');
        facts.account = base::account_id("a");
        facts.deadline = base::clock::now() + milliseconds(10'000);
        facts.maxTokens = base::token_count(10);
        facts.fingerprint = m_random();
        base::reason why;
        node.director->submit(facts, why);
    }

    void send(simulated_node &node)
    {
        for (std::vector<dispatch> sent = node.director->takeDispatches(); !sent.empty(); sent = node.director->takeDispatches()) {
            for (const dispatch &each : sent) {
                attempt(node, each);
            }
        }
    }

    void attempt(simulated_node &node, const dispatch &sent)
    {
        const std::string endpoint = sent.endpoint.value();
        const bool isRefusing = m_refusing.contains(endpoint);
        if (!node.isCutOff) {
            ++attempts[endpoint];
        }
        if (!isRefusing && !node.isCutOff) {
            node.open.emplace(base::clock::now() + answerTime, sent.request);
            return;
        }
        refused += node.isCutOff ? 0 : 1;
        base::reason why;
        node.director->retry(sent.request, request_outcome::notSent, why);
    }

    void exchange(simulated_node &node)
    {
        unreachable_reports &reports = *nodes.at(*holder).knowledge.unreachableReports;
        const auto own = static_cast<std::size_t>(&node - nodes.data());
        const base::node_id id(std::string("n").append(std::to_string(own)));
        reports.noteReport(id, node.knowledge.unreachable->own());
        node.knowledge.unreachable->setListed(reports.listFor(id), m_token, base::clock::now());
    }

    bool m_isSharing;
    std::mt19937_64 m_random;
    std::set<std::string> m_refusing;
    std::int64_t m_token = 1;
};

} // namespace chervilbend::routing::test
