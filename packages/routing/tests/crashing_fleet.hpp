#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/adaptive_director.hpp>
#include <chervilbend/routing/prompt_part_tracker.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilbend::routing
{

inline constexpr base::milliseconds step{10};
inline constexpr base::milliseconds exchangeInterval{250};
/// Time from the start of a request at an endpoint to its first event, and between events.
inline constexpr base::milliseconds firstEventTime{60};
inline constexpr base::milliseconds eventInterval{100};
inline constexpr base::milliseconds restartTime{3'000};
/// Endpoints to which one request is sent at most.
inline constexpr int maxAttempts = 2;
/// From this time after the fifth crash on, hardly any request with the part may reach an endpoint.
inline constexpr base::milliseconds stableTime{3'000};

inline constexpr std::uint64_t systemPart = 1;
inline constexpr std::uint64_t crashingPart = 2;
inline constexpr std::uint64_t firstSoundPart = 100;
inline constexpr std::uint64_t crashingFingerprint = 0xbad;
inline constexpr std::uint64_t commonFingerprint = 0x5a3e;

struct fleet_size {
    int nodes = 6;
    int endpoints = 12;
    /// Requests per second of all nodes, and the share of those with the crashing part.
    double requestsPerSecond = 80;
    double crashingShare = 0.05;
    int soundParts = 30;
    /// Time from the start of a request at an endpoint to its end.
    base::milliseconds runTime{400};
    /// Endpoints send the first event of an answer on the crashing part, and crash this long after it; no value if they crash before it.
    std::optional<base::milliseconds> crashAfterFirstEvent;
    /// The crashing requests are repetitions of one request without a prompt, instead of different requests that share a part.
    bool isOneRequest = false;
    /// All requests have the same fingerprint.
    bool isOneFingerprint = false;
};

/// Nodes in front of endpoints, in virtual time. Each node shares what it knows with one other, as with the holder of the command lease.
class crashing_fleet
{
public:
    crashing_fleet(const fleet_size &size, unsigned seed)
        : m_size(size)
        , m_random(seed)
        , m_endpoints(static_cast<std::size_t>(size.endpoints))
    {
        for (int i = 0; i < size.nodes; ++i) {
            m_nodes.push_back(startNode());
        }
    }

    void run(base::milliseconds duration, bool hasCrashingPart)
    {
        for (base::milliseconds done{0}; done < duration; done += step) {
            m_clock.advance(step);
            m_now += step;
            submitRequests(hasCrashingPart);
            for (node &each : m_nodes) {
                dispatch(each);
            }
            advanceRuns();
            restartEndpoints();
            if (m_now.count() % exchangeInterval.count() == 0) {
                shareEvidence();
            }
        }
    }

    /// Ends the process of a node; a new one takes its place, which takes requests once it has what the others know.
    void restartNode(std::size_t index)
    {
        std::erase_if(m_runs, [&](const running &each) { return each.node == index; });
        m_nodes[index] = startNode();
        shareEvidence();
    }

    /// Ends the processes of several endpoints at once.
    void crashEndpoints(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            crash(i);
        }
    }

    /// Ends all connections to some endpoints, which go on running.
    void loseConnections(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            failRunsAt(i);
        }
    }

    /// Whether the crashing part crashes endpoints now; it is answered like any other otherwise.
    bool isPartFatal = true;
    int crashes = 0;
    /// Requests with the crashing part that reached an endpoint later than stableTime after the fifth crash.
    int lateArrivals = 0;
    int soundSubmitted = 0;
    int soundBegun = 0;
    int soundCompleted = 0;
    int soundRefused = 0;

private:
    struct open_request {
        std::uint64_t part;
        int losses = 0;
    };
    struct node {
        std::shared_ptr<prompt_part_tracker> parts;
        std::unique_ptr<adaptive_director> director;
        std::map<request_handle, open_request> open;
    };
    struct running {
        std::size_t node;
        request_handle request;
        std::size_t endpoint;
        base::milliseconds startedAt;
        bool hasCrashingPart;
        /// Whether the endpoint will crash on it.
        bool isFatal;
        bool hasBegun = false;
        int events = 0;
    };
    struct endpoint {
        std::int64_t process = 1;
        base::milliseconds upAt{0};
    };

    node startNode()
    {
        node started;
        started.parts = std::make_shared<prompt_part_tracker>();
        director_settings settings;
        settings.isolateSuspects = false;
        started.director = std::make_unique<adaptive_director>(m_random(), settings, cluster_knowledge{.promptParts = started.parts});
        started.director->setNodeCount(m_size.nodes);
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            started.director->setEndpoint(factsOf(i));
        }
        return started;
    }

    endpoint_facts factsOf(std::size_t index) const
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(std::string("e").append(std::to_string(index)));
        facts.pools = {std::string(1, 'm')};
        facts.slots = 16;
        facts.startedAt = m_endpoints[index].process;
        return facts;
    }

    void submitRequests(bool hasCrashingPart)
    {
        std::poisson_distribution<int> arrivals(m_size.requestsPerSecond * static_cast<double>(step.count()) / 1'000);
        const int count = arrivals(m_random);
        for (int i = 0; i < count; ++i) {
            const bool isCrashing = hasCrashingPart && std::bernoulli_distribution(m_size.crashingShare)(m_random);
            const auto soundPart =
                firstSoundPart + std::uniform_int_distribution<std::uint64_t>(0, static_cast<std::uint64_t>(m_size.soundParts) - 1)(m_random);
            submit(isCrashing ? crashingPart : soundPart);
        }
    }

    void submit(std::uint64_t part)
    {
        request_facts facts;
        facts.pool = std::string(1, 'm');
        facts.deadline = base::clock::now() + base::milliseconds(10'000);
        facts.maxTokens = base::token_count(20);
        facts.fingerprint = ++m_lastFingerprint;
        if (part == crashingPart && m_size.isOneRequest) {
            facts.fingerprint = crashingFingerprint;
        } else {
            facts.promptParts = {systemPart, part};
        }
        if (m_size.isOneFingerprint) {
            facts.fingerprint = commonFingerprint;
        }
        node &chosen = m_nodes[std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random)];
        base::reason why;
        const std::optional<request_handle> handle = chosen.director->submit(facts, why);
        soundSubmitted += part != crashingPart ? 1 : 0;
        if (handle) {
            chosen.open[*handle] = {part};
        } else if (part != crashingPart && why.kind == base::error_kind::requestRefused) {
            ++soundRefused;
        }
    }

    void dispatch(node &sender)
    {
        const auto index = static_cast<std::size_t>(&sender - m_nodes.data());
        for (const struct dispatch &sent : sender.director->takeDispatches()) {
            const std::size_t target = std::stoul(sent.endpoint.value().substr(1));
            const bool isCrashing = sender.open.at(sent.request).part == crashingPart;
            if (m_now < m_endpoints[target].upAt) {
                fail(sender, sent.request, request_outcome::notSent);
                continue;
            }
            lateArrivals += isCrashing && m_fifthCrashAt && m_now > *m_fifthCrashAt + stableTime ? 1 : 0;
            m_runs.push_back({index, sent.request, target, m_now, isCrashing, isCrashing && isPartFatal});
        }
        for (const refusal &refused : sender.director->takeRefusals()) {
            const bool isSound = sender.open.at(refused.request).part != crashingPart;
            soundRefused += isSound && refused.why.kind == base::error_kind::requestRefused ? 1 : 0;
            sender.open.erase(refused.request);
        }
    }

    static void fail(node &sender, request_handle request, request_outcome outcome)
    {
        base::reason why;
        open_request &failed = sender.open.at(request);
        failed.losses += outcome == request_outcome::connectionLost ? 1 : 0;
        if (failed.losses >= maxAttempts) {
            sender.director->finish(request, outcome);
            sender.open.erase(request);
        } else if (!sender.director->retry(request, outcome, why)) {
            sender.open.erase(request);
        }
    }

    base::milliseconds crashTimeOf(const running &run) const
    {
        return run.startedAt + firstEventTime + m_size.crashAfterFirstEvent.value_or(base::milliseconds(0));
    }

    void advanceRuns()
    {
        for (std::size_t i = 0; i < m_runs.size(); ++i) {
            running &each = m_runs[i];
            const bool isEventDue = m_now >= each.startedAt + firstEventTime + each.events * eventInterval;
            if (isEventDue && (!each.isFatal || m_size.crashAfterFirstEvent)) {
                sendEvent(each);
            }
            if (each.isFatal && m_now >= crashTimeOf(each)) {
                crash(each.endpoint);
                i = static_cast<std::size_t>(-1);
                continue;
            }
            if (each.hasBegun && m_now >= each.startedAt + m_size.runTime) {
                node &sender = m_nodes[each.node];
                soundCompleted += each.hasCrashingPart ? 0 : 1;
                sender.director->finish(each.request, request_outcome::answered);
                sender.open.erase(each.request);
                m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(i));
                --i;
            }
        }
    }

    void sendEvent(running &run)
    {
        adaptive_director &director = *m_nodes[run.node].director;
        if (!run.hasBegun) {
            run.hasBegun = true;
            soundBegun += run.hasCrashingPart ? 0 : 1;
            director.firstByte(run.request);
        }
        ++run.events;
        director.progress(run.request, base::token_count(run.events));
    }

    void crash(std::size_t index)
    {
        ++crashes;
        if (crashes == 5) {
            m_fifthCrashAt = m_now;
        }
        m_endpoints[index].upAt = m_now + restartTime;
        failRunsAt(index);
    }

    void failRunsAt(std::size_t index)
    {
        std::vector<running> lost;
        std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(lost), [&](const running &each) { return each.endpoint == index; });
        std::erase_if(m_runs, [&](const running &each) { return each.endpoint == index; });
        for (const running &each : lost) {
            fail(m_nodes[each.node], each.request, request_outcome::connectionLost);
        }
    }

    void restartEndpoints()
    {
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            if (m_endpoints[i].upAt == m_now) {
                ++m_endpoints[i].process;
                for (node &each : m_nodes) {
                    each.director->removeEndpoint(factsOf(i).endpoint);
                    each.director->setEndpoint(factsOf(i));
                }
            }
        }
    }

    void shareEvidence()
    {
        prompt_part_tracker &hub = *m_nodes.front().parts;
        for (std::size_t i = 1; i < m_nodes.size(); ++i) {
            const prompt_evidence news = m_nodes[i].parts->takeNews();
            hub.merge(news);
            m_nodes[i].parts->merge(hub.responseTo(news));
        }
    }

    fleet_size m_size;
    base::manual_time_source m_clock;
    base::milliseconds m_now{0};
    std::mt19937 m_random;
    std::vector<endpoint> m_endpoints;
    std::vector<node> m_nodes;
    std::vector<running> m_runs;
    std::optional<base::milliseconds> m_fifthCrashAt;
    std::uint64_t m_lastFingerprint = 1'000'000;
};

} // namespace chervilbend::routing
