#pragma once

#include <chervilbend/routing/cluster_knowledge.hpp>
#include <chervilbend/routing/director_settings.hpp>
#include <chervilbend/routing/internal/crash_suspect_tracker.hpp>
#include <chervilbend/routing/internal/endpoint_selector.hpp>
#include <chervilbend/routing/internal/outlier_detector.hpp>
#include <chervilbend/routing/internal/request_table.hpp>
#include <chervilbend/routing/retry_budget.hpp>
#include <chervilbend/routing/retry_estimator.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervilbend::routing
{

struct endpoint_state;
struct pool_state;

/// The traffic director used in production. Deterministic: the same seed, clock and sequence of calls give the same decisions.
class adaptive_director : public traffic_director
{
public:
    explicit adaptive_director(std::uint64_t seed, const director_settings &settings = {}, cluster_knowledge knowledge = {});
    ~adaptive_director() override;

    void setEndpoint(const endpoint_facts &facts) override;
    void removeEndpoint(const base::endpoint_id &endpoint) override;
    void setReport(const base::endpoint_id &endpoint, const load_report &report) override;
    void setNodeCount(int nodes) override;
    std::optional<request_handle> submit(const request_facts &facts, base::reason &why) override;
    bool retry(request_handle request, request_outcome outcome, base::reason &why) override;
    std::optional<base::milliseconds> retryAfter(const request_facts &facts) override;
    bool allowsRetry(request_handle request) const override;
    std::vector<dispatch> takeDispatches() override;
    std::vector<refusal> takeRefusals() override;
    void checkForPause() override;
    void noteAnswer(request_handle request, const endpoint_notice &notice) override;
    void bindToVersion(request_handle request) override;
    void firstByte(request_handle request) override;
    void progress(request_handle request, base::token_count generated) override;
    void finish(request_handle request, request_outcome outcome) override;
    void mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes) override;
    std::vector<std::pair<std::uint64_t, int>> suspicions() const override;
    base::time_point nextWakeup() const override;

    /// The position of this node among all nodes, from 0. Decides which slots of brittle endpoints are its own.
    void setNodeRank(int rank);
    /// Grants of requests to endpoints with a rate limit have arrived, or have been refused.
    void rateLimitsChanged();
    /// The nodes have learned from an answer that the endpoint is about to stop.
    void endpointLeaves(const endpoint_process &process);
    /// The processes that other nodes have reported to refuse connections may have changed.
    void unreachableChanged();

private:
    /// Implemented in adaptive_director_pools.cpp: endpoints and pools.
    void joinPool(const std::shared_ptr<endpoint_state> &endpoint, const std::string &name);
    void leavePool(endpoint_state &endpoint, pool_state &pool);
    void dropPoolIfUnused(pool_state &pool);
    void markDirty(pool_state &pool);
    void markDirty(const endpoint_state &endpoint);
    void advance(base::time_point now);
    void advancePools(base::time_point now);

    /// Implemented in adaptive_director_queue.cpp: from submission to dispatch.
    static void predict(request_state &request);
    /// When the remainder of the request must be sent for its response to be complete by its deadline.
    static base::time_point latestStartFor(const request_state &request);
    bool admit(request_state &request, base::reason &why);
    void enqueue(request_state &request, bool isRetry);
    void removeFromQueue(request_state &request);
    void refuse(request_state &request, base::error_kind kind, std::string text);
    /// Why the request is refused as one that crashes endpoints; no value if it is not.
    std::optional<base::reason> crashReason(const request_facts &facts, bool isTrial = false) const;
    /// The part of the request, or the request as a whole, because of which it is refused.
    std::optional<std::uint64_t> refusedCause(const request_facts &facts) const;
    void refuseExpired(base::time_point now);
    bool isTooLate(request_state &request, base::time_point now);
    void dispatchSuspects(pool_state &pool, base::time_point now, std::vector<dispatch> &dispatches);
    /// Implemented in adaptive_director_resumptions.cpp: requests that continue a stream.
    void dispatchResumptions(pool_state &pool, base::time_point now, std::vector<dispatch> &dispatches);
    /// Why a request that continues a stream can't be served; no value if it can.
    std::optional<base::reason> resumptionObstacle(const request_facts &facts) const;

    bool isProbeAllowed(const endpoint_state &endpoint, base::time_point now) const;
    bool dispatchProbe(pool_state &pool, request_state &request, base::time_point now, std::vector<dispatch> &dispatches);
    bool dispatchNext(pool_state &pool, base::work_class leastUrgent, base::time_point now, std::vector<dispatch> &dispatches);
    void startAttempt(request_state &request, pool_member &member, base::time_point now);

    /// Implemented in adaptive_director_limits.cpp: request rates that endpoints have named.
    /// Expects another request like one that has arrived for the pool.
    void noteExpected(const pool_state &pool);
    void noteToleratedRefusals(const request_state &request, std::optional<double> toleratedRefusals);
    void updateSlotQuota(endpoint_state &endpoint) const;
    void updateSlotQuotas();
    void pauseEndpoint(endpoint_state &endpoint, base::milliseconds duration);
    /// The time after which this node may send to a brittle endpoint that has refused a request.
    base::milliseconds pauseAfterRefusal(double toleratedRefusals);
    /// Asks for grants for a request that waits for one.
    void requestGrant(request_state &request, base::time_point now);
    /// Refuses the waiting requests that could be sent only to endpoints that want no more for now. For endpoints with a rate limit, the allocator is asked
    /// first.
    void refuseUnwanted();

    /// Implemented in adaptive_director_retry_after.cpp.
    endpoint_obstacle obstacleAt(const endpoint_state &endpoint, base::time_point now) const;

    /// Implemented in adaptive_director_reports.cpp: endpoints that refuse the connections of other nodes.
    void noteResponse(endpoint_state &endpoint);
    /// Time between two recovery checks of this node at an endpoint that others have reported.
    base::milliseconds reportCheckInterval() const;
    /// From none to @p interval, different for each node.
    base::milliseconds firstCheckDelay(const base::endpoint_id &endpoint, base::time_point now, base::milliseconds interval) const;
    void applyReports(base::time_point now);
    /// Decides which members of the pool are avoided because of other nodes' reports.
    void avoidReportedMembers(pool_state &pool, base::time_point now);

    /// Implemented in adaptive_director_outcome.cpp: from dispatch to the end of the request.
    void takeFirstByteSample(request_state &request, double cost);
    /// Whether this process was paused at some time between @p since and @p now.
    bool wasPaused(base::time_point since, base::time_point now) const;
    void addSample(request_state &request, double cost, long samples, base::time_point now);
    void setOutstanding(request_state &request, double cost);
    void setCountsAsLong(request_state &request, bool isLong);
    void endAttempt(request_state &request, request_outcome outcome, base::time_point now);
    void recordAnswer(request_state &request);
    /// Records what an event of the answer tells about the parts of the prompt.
    void recordEvent(request_state &request, base::time_point now);
    void recordLoss(const request_state &request);
    bool grantRetry(const request_state &request, request_outcome outcome, base::time_point now, base::reason &why);
    void release(request_state &request);

    director_settings m_settings;
    std::optional<base::time_point> m_lastPauseCheck;
    base::time_point m_pauseEnd = base::time_point::min();
    int m_nodes = 1;
    int m_rank = 0;
    std::mt19937_64 m_pauseRandom;
    retry_estimator m_retryEstimator;
    std::uint64_t m_checkSeed;
    std::unordered_map<base::endpoint_id, std::shared_ptr<endpoint_state>> m_endpoints;
    std::unordered_map<std::string, std::unique_ptr<pool_state>> m_pools;
    /// Pools in order of creation, so that decisions do not depend on the iteration order of a hash map.
    std::vector<pool_state *> m_poolOrder;
    std::vector<pool_state *> m_dirty;
    request_table m_requests;
    /// Waiting requests, ordered by the time after which they are refused.
    std::set<std::pair<base::time_point, request_handle>> m_latestStarts;
    std::vector<refusal> m_refusals;
    crash_suspect_tracker m_suspects;
    std::shared_ptr<prompt_part_tracker> m_promptParts;
    std::shared_ptr<endpoint_rate_limits> m_rateLimits;
    std::shared_ptr<leaving_endpoints> m_leaving;
    std::shared_ptr<unreachable_endpoints> m_unreachable;
    /// Whether other nodes' reports, or what decides if they apply, have changed.
    bool m_areReportsDue = false;
    /// Endpoints that this node takes for unreachable because of the reports.
    int m_reportedEndpoints = 0;
    /// When the last of the pauses that endpoints have asked for ends.
    base::time_point m_lastPauseEnd;
    endpoint_selector m_selector;
    outlier_detector m_outliers;
    /// The retry budget of the request's retry group.
    retry_budget &retryBudgetOf(const request_state &request);
    double retryBurst() const;

    std::map<std::string, retry_budget> m_retryBudgets;
    std::uint64_t m_nextSerial = 1;
    base::time_point m_nextTick;
    base::time_point m_nextExpiry;
};

/// Creates the director of one node. @p seed initializes its random number generator and should differ between nodes.
std::unique_ptr<traffic_director> makeAdaptiveDirector(std::uint64_t seed, const director_settings &settings = {});

} // namespace chervilbend::routing
