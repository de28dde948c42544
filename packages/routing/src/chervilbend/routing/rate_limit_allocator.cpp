#include <chervilbend/routing/rate_limit_allocator.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// The rate that is not wanted accumulates for this long, and at least to a few requests: demand is irregular.
constexpr double burstSeconds = 0.25;
constexpr double leastBurst = 2;
/// Lower bound of the rate that is granted, in requests per second: an endpoint is asked from time to time whether its limit has changed.
constexpr double leastRate = 0.2;
/// Part of the rate that is granted by a node that does not hold the lease.
constexpr double rateWithoutLease = 0.4;
/// An endpoint that has not named its limit for this long, although it is asked from time to time, is forgotten.
constexpr base::milliseconds statementLifetime{600'000};

int countOf(const std::map<endpoint_process, int> &counts, const endpoint_process &process)
{
    const auto found = counts.find(process);
    return found == counts.end() ? 0 : found->second;
}

double capacityOf(double rate)
{
    return std::max(leastBurst, rate * burstSeconds);
}

} // namespace

rate_limit_allocator::rate_limit_allocator(std::int64_t id)
    : m_id(id)
{
}

rate_limit_answer rate_limit_allocator::answer(const rate_limit_report &report, bool isHolder)
{
    const base::time_point now = base::clock::now();
    removeOld(now);
    for (const rate_limit_statement &statement : report.statements) {
        merge(statement, now);
    }
    rate_limit_answer answer;
    answer.allocator = m_id;
    answer.version = m_version;
    const std::int64_t known = report.allocator == m_id ? report.version : 0;
    for (auto &[process, endpoint] : m_endpoints) {
        if (endpoint.version > known) {
            answer.statements.push_back({process, endpoint.requestRate, now - endpoint.statedAt});
        }
        if (report.allocator == m_id) {
            endpoint.available += countOf(report.unused, process);
        }
        refill(endpoint, isHolder, now);
    }
    for (const waiting_requests &waiting : report.waiting) {
        grantToWaiting(waiting, answer.granted);
    }
    for (const auto &[process, expected] : report.expected) {
        grantToExpected(process, expected, answer.granted);
    }
    return answer;
}

void rate_limit_allocator::merge(const rate_limit_statement &statement, base::time_point now)
{
    const auto [known, isNew] = m_endpoints.try_emplace(statement.process);
    limited_endpoint &endpoint = known->second;
    const base::time_point statedAt = now - statement.age;
    if (!isNew && statedAt <= endpoint.statedAt) {
        return;
    }
    if (isNew || endpoint.requestRate != statement.requestRate) {
        endpoint.version = ++m_version;
        endpoint.requestRate = statement.requestRate;
        endpoint.available = isNew ? 1 : std::min(endpoint.available, capacityOf(statement.requestRate.value_or(0)));
        endpoint.refilledAt = now;
    }
    endpoint.statedAt = statedAt;
}

void rate_limit_allocator::refill(limited_endpoint &endpoint, bool isHolder, base::time_point now)
{
    constexpr double millisecondsPerSecond = 1'000;
    const double rate = std::max(leastRate, endpoint.requestRate.value_or(0) * (isHolder ? 1 : rateWithoutLease));
    const double elapsed = static_cast<double>((now - endpoint.refilledAt).count()) / millisecondsPerSecond;
    endpoint.available = std::min(capacityOf(rate), endpoint.available + elapsed * rate);
    endpoint.refilledAt = now;
}

void rate_limit_allocator::grantToWaiting(const waiting_requests &waiting, std::map<endpoint_process, int> &granted)
{
    for (int i = 0; i < waiting.count; ++i) {
        limited_endpoint *best = nullptr;
        const endpoint_process *bestProcess = nullptr;
        for (const endpoint_process &process : waiting.endpoints) {
            const auto known = m_endpoints.find(process);
            if (known != m_endpoints.end() && known->second.requestRate && (!best || known->second.available > best->available)) {
                best = &known->second;
                bestProcess = &process;
            }
        }
        if (!best || best->available < 1) {
            return;
        }
        best->available -= 1;
        ++granted[*bestProcess];
    }
}

void rate_limit_allocator::grantToExpected(const endpoint_process &process, int expected, std::map<endpoint_process, int> &granted)
{
    const auto known = m_endpoints.find(process);
    if (known == m_endpoints.end() || !known->second.requestRate) {
        return;
    }
    limited_endpoint &endpoint = known->second;
    const int count = std::clamp(static_cast<int>(endpoint.available), 0, std::max(0, expected));
    if (count > 0) {
        endpoint.available -= count;
        granted[process] += count;
    }
}

void rate_limit_allocator::removeOld(base::time_point now)
{
    std::erase_if(m_endpoints, [&](const auto &known) { return now - known.second.statedAt > statementLifetime; });
}

std::size_t rate_limit_allocator::limitedEndpoints() const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto &known) { return known.second.requestRate.has_value(); }));
}

} // namespace chervilbend::routing
