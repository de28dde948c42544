#include <chervilbend/node/callers/endpoint_reachability.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/sleep.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds checkInterval{50};
/// A single endpoint may be silent for longer; all of them together are not while they work.
constexpr base::milliseconds silenceThreshold{500};
constexpr std::size_t unconnectedThreshold = 2;
constexpr std::size_t suspicionProbes = 5;
/// Least time between two suspicions that turned out to be wrong.
constexpr base::milliseconds suspicionInterval{1'000};
constexpr std::size_t recoveryProbes = 3;
constexpr base::milliseconds recoveryInterval{300};
constexpr int successesToRecover = 2;

const log4cxx::LoggerPtr &nodeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("node");
    return logger;
}

} // namespace

endpoint_reachability::endpoint_reachability(probe_function probe)
    : m_probe(std::move(probe))
{
}

void endpoint_reachability::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void endpoint_reachability::noteWaiting()
{
    if (!m_waitingSince) {
        m_waitingSince = base::clock::now();
    }
}

void endpoint_reachability::noteReceived()
{
    m_waitingSince.reset();
}

void endpoint_reachability::noteConnected()
{
    m_unconnected.clear();
}

void endpoint_reachability::noteConnectFailure(const base::endpoint_id &endpoint)
{
    m_unconnected.insert(endpoint);
}

bool endpoint_reachability::isSuspicious(base::time_point now) const
{
    return (m_waitingSince && now - *m_waitingSince >= silenceThreshold) || m_unconnected.size() >= unconnectedThreshold;
}

void endpoint_reachability::clearEvidence()
{
    m_waitingSince.reset();
    m_unconnected.clear();
    m_successes = 0;
}

void endpoint_reachability::setStranded(bool isStranded)
{
    m_isStranded = isStranded;
    clearEvidence();
    LOG4CXX_WARN(nodeLog(), base::log_event(isStranded ? "stranded" : "strandedEnded").text());
    if (m_listener) {
        m_listener();
    }
}

asio::awaitable<void> endpoint_reachability::run()
{
    while (true) {
        if (m_isStranded) {
            co_await checkRecovery();
            co_await net::sleepFor(recoveryInterval);
        } else if (isSuspicious(base::clock::now())) {
            co_await decide();
        }
        co_await net::sleepFor(checkInterval);
    }
}

asio::awaitable<void> endpoint_reachability::decide()
{
    const std::optional<bool> isReached = co_await m_probe(suspicionProbes);
    LOG4CXX_INFO(nodeLog(), base::log_event("reachabilityChecked").with("reached", isReached.value_or(true)).with("unconnected", m_unconnected.size()).text());
    if (isReached && !*isReached) {
        setStranded(true);
        co_return;
    }
    clearEvidence();
    co_await net::sleepFor(suspicionInterval);
}

asio::awaitable<void> endpoint_reachability::checkRecovery()
{
    const std::optional<bool> isReached = co_await m_probe(recoveryProbes);
    m_successes = isReached.value_or(true) ? m_successes + 1 : 0;
    if (m_successes >= successesToRecover) {
        setStranded(false);
    }
}

} // namespace chervilbend::node
