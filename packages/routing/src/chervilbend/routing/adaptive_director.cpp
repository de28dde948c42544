#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// Maximum time between two wake-ups, so that estimates and suspicions also age without traffic.
constexpr base::milliseconds idleWakeup{1000};

} // namespace

adaptive_director::adaptive_director(std::uint64_t seed, const director_settings &settings, cluster_knowledge knowledge)
    : m_settings(settings)
    , m_pauseRandom(seed)
    , m_retryEstimator(seed)
    , m_checkSeed(seed)
    , m_suspects(m_settings)
    , m_promptParts(std::move(knowledge.promptParts))
    , m_rateLimits(std::move(knowledge.rateLimits))
    , m_leaving(std::move(knowledge.leaving))
    , m_unreachable(std::move(knowledge.unreachable))
    , m_selector(seed, m_settings, m_suspects, *m_rateLimits)
    , m_outliers(m_settings)
{
}

adaptive_director::~adaptive_director() = default;

std::unique_ptr<traffic_director> makeAdaptiveDirector(std::uint64_t seed, const director_settings &settings)
{
    return std::make_unique<adaptive_director>(seed, settings);
}

void adaptive_director::setReport(const base::endpoint_id &endpoint, const load_report &report)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_state &state = *found->second;
    const base::time_point now = base::clock::now();
    const base::time_point measuredAt = now - report.lag;
    const bool restarted = state.incarnation != 0 && report.incarnation != 0 && report.incarnation != state.incarnation;
    if (restarted) {
        m_suspects.confirmCrash(state.serial);
    } else if (m_suspects.hasUnconfirmedLoss(state.serial) && report.incarnation != 0 && report.incarnation == state.incarnation
               && measuredAt > m_suspects.lossTime(state.serial)) {
        m_suspects.dismissCrash(state.serial);
    }
    if (state.isDown && measuredAt > state.downSince) {
        state.isDown = false;
    }
    state.setReport(report, now);
    markDirty(state);
}

void adaptive_director::setNodeCount(int nodes)
{
    m_nodes = std::max(1, nodes);
    updateSlotQuotas();
    m_nextTick = base::time_point{};
    for (auto &[group, budget] : m_retryBudgets) {
        budget.setBurst(retryBurst());
    }
}

void adaptive_director::setNodeRank(int rank)
{
    m_rank = std::max(0, rank);
    updateSlotQuotas();
}

double adaptive_director::retryBurst() const
{
    return m_settings.clusterRetryBurst > 0 ? m_settings.clusterRetryBurst / m_nodes : m_settings.retryBurst;
}

retry_budget &adaptive_director::retryBudgetOf(const request_state &request)
{
    return m_retryBudgets.try_emplace(request.facts.retryGroup, m_settings.retryShare, retryBurst(), m_settings.retryWindow).first->second;
}

std::vector<dispatch> adaptive_director::takeDispatches()
{
    const base::time_point now = base::clock::now();
    advance(now);
    refuseExpired(now);
    std::vector<dispatch> dispatches;
    for (pool_state *pool : m_dirty) {
        dispatchSuspects(*pool, now, dispatches);
        dispatchResumptions(*pool, now, dispatches);
    }
    // Iterate over the classes first and the pools second: on shared endpoints, urgent work of one pool precedes batch work of another.
    for (const base::work_class leastUrgent : {base::work_class::urgent, base::work_class::normal, base::work_class::batch}) {
        for (pool_state *pool : m_dirty) {
            while (dispatchNext(*pool, leastUrgent, now, dispatches)) { }
        }
    }
    refuseUnwanted();
    for (pool_state *pool : m_dirty) {
        pool->isDirty = false;
    }
    m_dirty.clear();
    return dispatches;
}

std::vector<refusal> adaptive_director::takeRefusals()
{
    const base::time_point now = base::clock::now();
    refuseExpired(now);
    for (const refusal &pending : m_refusals) {
        if (request_state *request = m_requests.find(pending.request)) {
            release(*request);
        }
    }
    return std::exchange(m_refusals, {});
}

void adaptive_director::mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes)
{
    m_suspects.mergeRemote(fingerprint, crashes, base::clock::now());
}

std::vector<std::pair<std::uint64_t, int>> adaptive_director::suspicions() const
{
    return m_suspects.localCrashCounts();
}

base::time_point adaptive_director::nextWakeup() const
{
    const base::time_point now = base::clock::now();
    if (m_latestStarts.empty()) {
        return now + idleWakeup;
    }
    // A request is refused only after its latest start has passed, hence one millisecond later.
    return std::min(std::max(m_nextTick, now + base::milliseconds(1)), m_latestStarts.begin()->first + base::milliseconds(1));
}

} // namespace chervilbend::routing
