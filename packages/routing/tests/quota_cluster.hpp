#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/account_quotas.hpp>
#include <chervilbend/routing/quota_allocator.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
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
inline constexpr milliseconds periodicInterval{250};
inline constexpr milliseconds urgentInterval{50};
inline constexpr milliseconds messageDelay{5};
inline constexpr milliseconds messageTimeout{300};
/// How long a request waits for a grant.
inline constexpr milliseconds longestWait{300};
/// The users' rule: the window, the part by which it may be exceeded, and the units beyond that.
inline constexpr milliseconds ruleWindow{8'000};
inline constexpr double ruleOvershoot = 0.1;
inline constexpr double ruleSlack = 7'500;

/// What callers send on behalf of an account.
struct account_load {
    quota_limit limit;
    /// Mean cost of a request, in units.
    double meanCost = 1'000;
    /// Units per second that callers send to the node of an index; changed by tests.
    std::function<double(std::size_t node)> demand;
};

struct admitted_units {
    base::time_point at;
    double cost = 0;
};

struct account_result {
    std::vector<admitted_units> admitted;
    double offered = 0;
    double refused = 0;
    milliseconds longestWaitOfRefused{0};
    /// What refused callers were told.
    milliseconds leastRetryAfter = milliseconds::max();
};

/// Nodes that share quotas, with one of them as the allocator, in virtual time. Messages take a while, and are lost where a test cuts a node off.
class quota_cluster
{
public:
    quota_cluster(std::size_t nodeCount, std::map<std::string, account_load> loads, std::uint64_t seed = 1)
        : m_loads(std::move(loads))
        , m_random(seed)
    {
        for (const auto &[name, load] : m_loads) {
            m_limits[base::account_id(name)] = load.limit;
        }
        for (std::size_t i = 0; i < nodeCount; ++i) {
            startNode(i);
        }
        setAllocator(0);
    }

    /// @p node has acquired the lease, or nobody holds it.
    void setAllocator(std::optional<std::size_t> node)
    {
        if (node && node != allocator) {
            m_nodes.at(*node)->grants.start(++m_terms);
        }
        allocator = node;
    }

    /// Starts the process of a node, or replaces it by a new one.
    void startNode(std::size_t index)
    {
        if (index >= m_nodes.size()) {
            m_nodes.resize(index + 1);
        }
        auto node = std::make_unique<simulated_node>();
        node->quotas.setIdentity(base::node_id(std::string("n").append(std::to_string(index))), ++m_processes);
        node->quotas.setOvershoot(ruleOvershoot);
        node->quotas.setNodeCount(static_cast<int>(std::max<std::size_t>(m_nodes.size(), 1)));
        node->quotas.setLimits(m_limits);
        node->grants.setLimits(m_limits);
        node->quotas.onGrantsWanted([raw = node.get()] { raw->isUrgent = true; });
        // Callers of different nodes are independent of each other.
        for (const auto &[name, load] : m_loads) {
            node->arrears[name] = -load.meanCost * std::uniform_real_distribution<double>(0, 2)(m_random);
        }
        node->reportsAt = now() + periodicInterval * static_cast<std::int64_t>(index % 7) / 7;
        m_nodes[index] = std::move(node);
    }

    void setLimit(const std::string &account, quota_limit limit)
    {
        m_limits[base::account_id(account)] = limit;
        for (const auto &node : m_nodes) {
            node->quotas.setLimits(m_limits);
            node->grants.setLimits(m_limits);
        }
    }

    account_load &load(const std::string &account)
    {
        return m_loads.at(account);
    }

    account_quotas &quotasOf(std::size_t node)
    {
        return m_nodes.at(node)->quotas;
    }

    void run(milliseconds duration)
    {
        const base::time_point end = now() + duration;
        while (now() < end) {
            m_time.advance(stepLength);
            deliver();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (!frozen.contains(i)) {
                    step(i);
                }
            }
        }
    }

    static base::time_point now()
    {
        return base::clock::bootNow();
    }

    /// The most units that were admitted in any window of the users' rule.
    double mostInWindow(const std::string &account, base::time_point since = {}) const
    {
        const std::vector<admitted_units> &all = results.at(account).admitted;
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const admitted_units &each : all) {
            sum += each.cost;
            while (each.at - all[first].at >= ruleWindow) {
                sum -= all[first++].cost;
            }
            most = each.at >= since + ruleWindow ? std::max(most, sum) : most;
        }
        return most;
    }

    static double allowedInWindow(const quota_limit &limit)
    {
        const double seconds = static_cast<double>(ruleWindow.count()) / 1'000;
        return (limit.rate * seconds + limit.burst) * (1 + ruleOvershoot) + ruleSlack;
    }

    /// Whose reports are answered; no value while there is no lease holder. Set by setAllocator().
    std::optional<std::size_t> allocator;
    /// Nodes without a path to the others. Their callers still reach them, and they reach endpoints.
    std::map<std::size_t, bool> cutOff;
    /// Nodes whose process stands still.
    std::map<std::size_t, bool> frozen;
    std::map<std::string, account_result> results;
    /// Reports outside of the periodic exchange.
    int urgentReports = 0;

private:
    struct waiting_call {
        std::shared_ptr<quota_request> request;
        std::string account;
        base::time_point since;
    };

    struct simulated_node {
        account_quotas quotas;
        quota_allocator grants;
        bool isUrgent = false;
        bool isExchanging = false;
        base::time_point reportsAt;
        base::time_point urgentAfter;
        std::deque<waiting_call> waiting;
        std::map<std::string, double> arrears;
    };

    struct message {
        base::time_point at;
        std::function<void()> deliver;
    };

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(m_messages, [&](message &each) {
            if (each.at > now()) {
                return false;
            }
            due.push_back(std::move(each));
            return true;
        });
        for (const message &each : due) {
            each.deliver();
        }
    }

    void step(std::size_t index)
    {
        simulated_node &node = *m_nodes[index];
        for (const auto &[name, load] : m_loads) {
            arrive(node, index, name, load);
        }
        settle(node);
        const bool isDue = now() >= node.reportsAt || (node.isUrgent && now() >= node.urgentAfter);
        if (isDue && !node.isExchanging) {
            exchange(index);
        }
    }

    void arrive(simulated_node &node, std::size_t index, const std::string &name, const account_load &load)
    {
        node.arrears[name] += load.demand(index) * static_cast<double>(stepLength.count()) / 1'000;
        while (node.arrears[name] > 0) {
            const double cost = load.meanCost * std::uniform_real_distribution<double>(0.2, 1.8)(m_random);
            node.arrears[name] -= cost;
            results[name].offered += cost;
            node.waiting.push_back({node.quotas.charge(base::account_id(name), cost), name, now()});
        }
    }

    void settle(simulated_node &node)
    {
        std::erase_if(node.waiting, [&](const waiting_call &call) {
            if (call.request->decision == quota_decision::waiting && now() - call.since >= longestWait) {
                node.quotas.abandon(*call.request);
            }
            if (call.request->decision == quota_decision::waiting) {
                return false;
            }
            account_result &result = results[call.account];
            if (call.request->decision == quota_decision::admitted) {
                result.admitted.push_back({now(), call.request->cost});
            } else {
                result.refused += call.request->cost;
                result.leastRetryAfter = std::min(result.leastRetryAfter, call.request->retryAfter);
                result.longestWaitOfRefused = std::max(result.longestWaitOfRefused, now() - call.since);
            }
            return true;
        });
    }

    void exchange(std::size_t index)
    {
        simulated_node &node = *m_nodes[index];
        urgentReports += now() < node.reportsAt ? 1 : 0;
        node.isUrgent = false;
        node.isExchanging = true;
        node.reportsAt = now() + periodicInterval;
        node.urgentAfter = now() + urgentInterval;
        const quota_report report = node.quotas.takeReport();
        const bool reaches = allocator && (*allocator == index || (!cutOff.contains(index) && !cutOff.contains(*allocator) && !frozen.contains(*allocator)));
        const milliseconds delay = allocator == index ? milliseconds(0) : messageDelay;
        simulated_node *const sender = &node;
        if (!reaches) {
            // Without a known allocator the attempt ends at once.
            after(allocator ? messageTimeout : milliseconds(0), index, sender, [sender] { sender->quotas.noteUnanswered(); });
            return;
        }
        m_messages.push_back({now() + delay, [this, index, sender, report, delay, to = *allocator] {
                                  const quota_answer answer = m_nodes[to]->grants.answer(report, allocator == to);
                                  after(delay, index, sender, [sender, report, answer] { sender->quotas.apply(report, answer); });
                              }});
    }

    /// Runs @p what if the process still lives, once it does not stand still.
    void after(milliseconds delay, std::size_t index, simulated_node *process, std::function<void()> what)
    {
        m_messages.push_back({now() + delay, [this, index, process, what = std::move(what)] {
                                  if (m_nodes[index].get() != process) {
                                      return;
                                  }
                                  if (frozen.contains(index)) {
                                      after(stepLength, index, process, what);
                                      return;
                                  }
                                  process->isExchanging = false;
                                  what();
                              }});
    }

    base::manual_time_source m_time;
    std::map<std::string, account_load> m_loads;
    std::map<base::account_id, quota_limit> m_limits;
    std::vector<std::unique_ptr<simulated_node>> m_nodes;
    std::vector<message> m_messages;
    std::mt19937_64 m_random;
    std::int64_t m_processes = 0;
    std::int64_t m_terms = 0;
};

} // namespace chervilbend::routing::test
