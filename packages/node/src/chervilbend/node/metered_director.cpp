#include <chervilbend/node/metered_director.hpp>

#include <algorithm>

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds arrivalWindow{10'000};
/// Weight of the latest service time in the moving average.
constexpr double smoothingFactor = 0.1;
constexpr double msPerSecond = 1'000;

void removeExpired(std::deque<base::time_point> &arrivals, base::time_point now)
{
    while (!arrivals.empty() && arrivals.front() + arrivalWindow < now) {
        arrivals.pop_front();
    }
}

request_result requestEndOf(routing::request_outcome outcome, base::time_point deadline)
{
    switch (outcome) {
    case routing::request_outcome::answered:
        return base::clock::now() <= deadline ? request_result::met : request_result::late;
    case routing::request_outcome::cancelled:
        return request_result::cancelled;
    case routing::request_outcome::notSent:
    case routing::request_outcome::notAttempted:
    case routing::request_outcome::refused:
    case routing::request_outcome::connectionLost:
    case routing::request_outcome::timedOut:
        break;
    }
    return request_result::failed;
}

} // namespace

metered_director::metered_director(routing::traffic_director &inner, double slotsPerEndpoint)
    : m_inner(inner)
    , m_slotsPerEndpoint(std::max(1.0, slotsPerEndpoint))
{
}

void metered_director::setEndpoint(const routing::endpoint_facts &facts)
{
    m_inner.setEndpoint(facts);
}

void metered_director::removeEndpoint(const base::endpoint_id &endpoint)
{
    m_inner.removeEndpoint(endpoint);
}

void metered_director::setReport(const base::endpoint_id &endpoint, const routing::load_report &report)
{
    m_inner.setReport(endpoint, report);
}

void metered_director::setNodeCount(int nodes)
{
    m_inner.setNodeCount(nodes);
}

std::optional<routing::request_handle> metered_director::submit(const routing::request_facts &facts, base::reason &why)
{
    const base::time_point now = base::clock::now();
    demand_meter &meter = m_meters[facts.pool];
    removeExpired(meter.arrivals, now);
    meter.arrivals.push_back(now);
    const std::optional<routing::request_handle> request = m_inner.submit(facts, why);
    if (request) {
        m_openRequests[*request].facts = facts;
    } else {
        notifyEnd(facts, request_result::refused, why.kind);
    }
    return request;
}

bool metered_director::retry(routing::request_handle request, routing::request_outcome outcome, base::reason &why)
{
    const bool queued = m_inner.retry(request, outcome, why);
    const auto open = m_openRequests.find(request);
    if (open != m_openRequests.end()) {
        open->second.sentAt.reset();
        if (!queued) {
            const bool mayHaveRun = outcome == routing::request_outcome::connectionLost || outcome == routing::request_outcome::timedOut;
            if (mayHaveRun) {
                notifyEnd(open->second.facts, request_result::failed);
            } else {
                notifyEnd(open->second.facts, request_result::refused, why.kind);
            }
            m_openRequests.erase(open);
        }
    }
    return queued;
}

std::optional<base::milliseconds> metered_director::retryAfter(const routing::request_facts &facts)
{
    return m_inner.retryAfter(facts);
}

bool metered_director::allowsRetry(routing::request_handle request) const
{
    return m_inner.allowsRetry(request);
}

std::vector<routing::dispatch> metered_director::takeDispatches()
{
    std::vector<routing::dispatch> dispatches = m_inner.takeDispatches();
    const base::time_point now = base::clock::now();
    for (const routing::dispatch &dispatch : dispatches) {
        const auto open = m_openRequests.find(dispatch.request);
        if (open != m_openRequests.end()) {
            open->second.sentAt = now;
        }
    }
    return dispatches;
}

std::vector<routing::refusal> metered_director::takeRefusals()
{
    std::vector<routing::refusal> refusals = m_inner.takeRefusals();
    for (const routing::refusal &refusal : refusals) {
        const auto open = m_openRequests.find(refusal.request);
        if (open != m_openRequests.end()) {
            notifyEnd(open->second.facts, request_result::refused, refusal.why.kind);
            m_openRequests.erase(open);
        }
    }
    return refusals;
}

void metered_director::checkForPause()
{
    m_inner.checkForPause();
}

void metered_director::noteAnswer(routing::request_handle request, const routing::endpoint_notice &notice)
{
    m_inner.noteAnswer(request, notice);
}

void metered_director::bindToVersion(routing::request_handle request)
{
    m_inner.bindToVersion(request);
}

void metered_director::firstByte(routing::request_handle request)
{
    m_inner.firstByte(request);
}

void metered_director::progress(routing::request_handle request, base::token_count generated)
{
    m_inner.progress(request, generated);
}

void metered_director::finish(routing::request_handle request, routing::request_outcome outcome)
{
    const auto open = m_openRequests.find(request);
    if (open != m_openRequests.end()) {
        if (outcome == routing::request_outcome::answered && open->second.sentAt) {
            const double ms = static_cast<double>((base::clock::now() - *open->second.sentAt).count());
            double &mean = m_meters[open->second.facts.pool].meanServiceMs;
            mean += smoothingFactor * (ms - mean);
        }
        notifyEnd(open->second.facts, requestEndOf(outcome, open->second.facts.deadline));
        m_openRequests.erase(open);
    }
    m_inner.finish(request, outcome);
}

void metered_director::mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes)
{
    m_inner.mergeRemoteSuspicion(fingerprint, crashes);
}

std::vector<std::pair<std::uint64_t, int>> metered_director::suspicions() const
{
    return m_inner.suspicions();
}

base::time_point metered_director::nextWakeup() const
{
    return m_inner.nextWakeup();
}

void metered_director::setListener(request_end_listener *listener)
{
    m_listener = listener;
}

void metered_director::notifyEnd(const routing::request_facts &facts, request_result end, std::optional<base::error_kind> refusal) const
{
    if (m_listener) {
        m_listener->requestEnded(facts, end, refusal);
    }
}

membership::demand_by_item metered_director::demand() const
{
    const base::time_point now = base::clock::now();
    membership::demand_by_item demand;
    for (auto &[pool, meter] : m_meters) {
        removeExpired(meter.arrivals, now);
        if (meter.arrivals.empty() || pool.starts_with("service/")) {
            continue;
        }
        const double perSecond = static_cast<double>(meter.arrivals.size()) * msPerSecond / static_cast<double>(arrivalWindow.count());
        demand[base::item_id(pool)] = perSecond * meter.meanServiceMs / msPerSecond / m_slotsPerEndpoint;
    }
    return demand;
}

} // namespace chervilbend::node
