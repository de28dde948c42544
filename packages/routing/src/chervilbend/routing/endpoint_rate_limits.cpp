#include <chervilbend/routing/endpoint_rate_limits.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// A limit that has not changed is reported again after this time, so that the allocator knows that the endpoint lives.
constexpr base::milliseconds restatementInterval{10'000};
/// An endpoint that has said nothing to any node for this long is forgotten.
constexpr base::milliseconds statementLifetime{600'000};

} // namespace

void endpoint_rate_limits::noteAnswer(const endpoint_process &process, std::optional<double> requestRate)
{
    const auto known = m_endpoints.find(process);
    if (known == m_endpoints.end() && !requestRate) {
        return;
    }
    limited_endpoint &endpoint = known == m_endpoints.end() ? m_endpoints[process] : known->second;
    const base::time_point now = base::clock::now();
    const bool isDue = requestRate && now - endpoint.reportedAt > restatementInterval;
    endpoint.isUnreported = endpoint.isUnreported || endpoint.requestRate != requestRate || isDue;
    endpoint.statedAt = now;
    setRate(process, endpoint, requestRate);
}

void endpoint_rate_limits::setRate(const endpoint_process &process, limited_endpoint &endpoint, std::optional<double> requestRate) const
{
    if (std::exchange(endpoint.requestRate, requestRate) != requestRate && m_changeListener) {
        m_changeListener(process, requestRate);
    }
}

void endpoint_rate_limits::noteExpected(const endpoint_process &process, double share)
{
    const auto known = m_endpoints.find(process);
    if (known != m_endpoints.end() && known->second.requestRate) {
        known->second.expected += share;
    }
}

void endpoint_rate_limits::noteWaiting(std::vector<endpoint_process> endpoints)
{
    const auto same = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_requests &each) { return each.endpoints == endpoints; });
    if (same != m_waiting.end()) {
        ++same->count;
    } else {
        m_waiting.push_back({std::move(endpoints)});
    }
}

void endpoint_rate_limits::noteSent(const endpoint_process &process)
{
    const auto known = m_endpoints.find(process);
    if (known != m_endpoints.end() && known->second.granted > 0) {
        --known->second.granted;
    }
}

void endpoint_rate_limits::remove(const endpoint_process &process)
{
    m_endpoints.erase(process);
}

rate_limit_report endpoint_rate_limits::takeReport()
{
    const base::time_point now = base::clock::now();
    rate_limit_report report;
    report.number = ++m_lastReport;
    report.allocator = m_allocator;
    report.version = m_version;
    report.waiting = std::exchange(m_waiting, {});
    std::erase_if(m_endpoints, [&](const auto &known) { return now - known.second.statedAt > statementLifetime; });
    for (auto &[process, endpoint] : m_endpoints) {
        if (std::exchange(endpoint.isUnreported, false)) {
            report.statements.push_back({process, endpoint.requestRate, now - endpoint.statedAt});
            endpoint.reportedAt = now;
        }
        const int expected = static_cast<int>(std::ceil(std::exchange(endpoint.expected, 0)));
        if (expected > 0) {
            report.expected[process] = expected;
        }
        const int unused = std::exchange(endpoint.granted, 0);
        if (unused > 0 && now < endpoint.grantedUntil) {
            report.unused[process] = unused;
        }
    }
    return report;
}

void endpoint_rate_limits::apply(const rate_limit_report &report, const rate_limit_answer &answer, base::time_point requestedAt)
{
    const base::time_point now = base::clock::now();
    if (answer.allocator == 0) {
        // A node that still runs the version before.
        noteUnanswered(report);
        return;
    }
    if (std::exchange(m_allocator, answer.allocator) != answer.allocator) {
        // The new allocator may know nothing of the limits.
        for (auto &[process, endpoint] : m_endpoints) {
            endpoint.isUnreported = endpoint.isUnreported || endpoint.requestRate.has_value();
        }
    }
    m_version = answer.version;
    for (const rate_limit_statement &statement : answer.statements) {
        const auto known = m_endpoints.find(statement.process);
        const base::time_point statedAt = now - statement.age;
        if (known == m_endpoints.end() ? !statement.requestRate.has_value() : statedAt <= known->second.statedAt) {
            continue;
        }
        limited_endpoint &endpoint = m_endpoints[statement.process];
        endpoint.statedAt = statedAt;
        setRate(statement.process, endpoint, statement.requestRate);
    }
    for (const auto &[process, count] : answer.granted) {
        const auto known = m_endpoints.find(process);
        if (known != m_endpoints.end()) {
            known->second.granted = now < known->second.grantedUntil ? known->second.granted + count : count;
            known->second.grantedUntil = requestedAt + grantLifetime;
        }
    }
    m_lastDecided = std::max(m_lastDecided, report.number);
}

void endpoint_rate_limits::noteUnanswered(const rate_limit_report &report)
{
    for (const rate_limit_statement &statement : report.statements) {
        const auto known = m_endpoints.find(statement.process);
        if (known != m_endpoints.end()) {
            known->second.isUnreported = true;
        }
    }
    m_lastDecided = std::max(m_lastDecided, report.number);
}

void endpoint_rate_limits::requestGrants()
{
    if (m_wantedListener) {
        m_wantedListener();
    }
}

void endpoint_rate_limits::onGrantsWanted(std::function<void()> listener)
{
    m_wantedListener = std::move(listener);
}

void endpoint_rate_limits::onChange(std::function<void(const endpoint_process &, std::optional<double>)> listener)
{
    m_changeListener = std::move(listener);
}

bool endpoint_rate_limits::maySend(const endpoint_process &process) const
{
    const auto known = m_endpoints.find(process);
    if (known == m_endpoints.end() || !known->second.requestRate) {
        return true;
    }
    return known->second.granted > 0 && base::clock::now() < known->second.grantedUntil;
}

bool endpoint_rate_limits::isLimited(const endpoint_process &process) const
{
    return requestRate(process).has_value();
}

std::optional<double> endpoint_rate_limits::requestRate(const endpoint_process &process) const
{
    const auto known = m_endpoints.find(process);
    return known == m_endpoints.end() ? std::nullopt : known->second.requestRate;
}

std::size_t endpoint_rate_limits::limitedEndpoints() const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto &known) { return known.second.requestRate.has_value(); }));
}

bool endpoint_rate_limits::hasNews() const
{
    return !m_waiting.empty() || std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const auto &known) {
        const limited_endpoint &endpoint = known.second;
        return endpoint.isUnreported || endpoint.expected > 0 || endpoint.granted > 0;
    });
}

} // namespace chervilbend::routing
