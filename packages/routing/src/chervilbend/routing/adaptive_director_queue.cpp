#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/base/seconds_text.hpp>
#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

namespace
{

/// Share of its predicted time that a request must still have before its deadline. Below 1 since predictions are means: with heavy-tailed
/// lengths most requests are shorter.
constexpr double requiredTimeShare = 0.7;
/// Interval per pool at which a request is admitted although it seems too late, so that a prediction that is too high gets corrected.
constexpr base::milliseconds lateAdmissionInterval{1000};
/// Interval between two attempts to reach an endpoint that is down.
constexpr base::milliseconds downRetryInterval{1000};
/// Interval between two requests to an endpoint that lost a connection but is not known to be down.
constexpr base::milliseconds unconfirmedLossInterval{100};

/// Interval between two rounds of suspected requests. Most crashes become apparent within it.
constexpr base::milliseconds suspectRoundInterval{1000};
/// Time that a suspected request waits for the endpoint assigned to its rank before it takes another.
constexpr base::milliseconds assignedEndpointTimeout{2000};
/// Number of probe intervals after which long and urgent requests are used as probes, too.
constexpr int highValueProbeIntervals = 10;

/// Longer estimates are shown as this, since an estimate may be infinite.
constexpr double maxShownSeconds = 1e9;

/// Rounded up to whole seconds, since estimates are no more precise.
base::milliseconds wholeSeconds(double ms)
{
    const double seconds = std::ceil(std::min(std::max(1.0, ms / 1000), maxShownSeconds));
    return base::milliseconds(static_cast<std::int64_t>(seconds) * 1000);
}

} // namespace

std::optional<request_handle> adaptive_director::submit(const request_facts &facts, base::reason &why)
{
    const auto found = m_pools.find(facts.pool);
    const bool served = found != m_pools.end()
        && std::any_of(found->second->members.begin(), found->second->members.end(), [](const pool_member &member) { return !member.endpoint->isLeaving(); });
    if (!served) {
        why = {base::error_kind::noEndpoint, "no endpoint serves " + facts.pool};
        return std::nullopt;
    }
    if (std::optional<base::reason> obstacle = resumptionObstacle(facts)) {
        why = std::move(*obstacle);
        return std::nullopt;
    }
    const std::optional<std::uint64_t> cause = refusedCause(facts);
    const bool isTrial = cause && m_promptParts->takeTrial(*cause);
    if (std::optional<base::reason> crashing = crashReason(facts, isTrial)) {
        why = std::move(*crashing);
        return std::nullopt;
    }
    request_state &request = m_requests.add();
    request.facts = facts;
    request.isTrial = isTrial;
    request.submitted = base::clock::now();
    request.pool = found->second.get();
    ++request.pool->handleCount;
    retryBudgetOf(request).deposit();
    predict(request);
    if (!admit(request, why)) {
        release(request);
        return std::nullopt;
    }
    ++request.pool->requests;
    request.pool->meanCost += (request.cost - request.pool->meanCost) * 0.01;
    noteExpected(*request.pool);
    enqueue(request, false);
    return request.id;
}

void adaptive_director::predict(request_state &request)
{
    const pool_state &pool = *request.pool;
    const base::token_count received = request.facts.receivedTokens;
    request.inputCost = cost_predictor::inputCost(base::token_count(request.facts.promptTokens.count() + received.count()));
    const double wholeStream = pool.predictor.outputTokens(request.facts.urgency, request.facts.maxTokens);
    request.predictedTokens = std::max(1.0, wholeStream - static_cast<double>(received.count()));
    request.cost = request.inputCost + request.predictedTokens;
    request.lane = {request.facts.urgency, request.cost > pool.longThreshold};
    request.latestStart = std::min(latestStartFor(request), request.facts.latestDispatch);
}

base::time_point adaptive_director::latestStartFor(const request_state &request)
{
    const double remainingCost = std::max(1.0, request.cost - static_cast<double>(request.generated));
    const double requiredMs = requiredTimeShare * remainingCost * request.pool->msPerCost;
    return request.facts.deadline - base::milliseconds(static_cast<std::int64_t>(std::min(requiredMs, 1e12)));
}

bool adaptive_director::admit(request_state &request, base::reason &why)
{
    pool_state &pool = *request.pool;
    const base::time_point now = base::clock::now();
    if (isTooLate(request, now)) {
        why = {base::error_kind::deadlineUnmeetable,
               "the request needs about " + base::secondsText(wholeSeconds(request.cost * pool.msPerCost), 0) + " s, which is more than its deadline allows"};
        return false;
    }
    if (request.isResumption() || pool.queue.hasRoom(request.lane, request.cost)) {
        return true;
    }
    pool.hasShed = true;
    pool.lastShed = now;
    const double waitMs = pool.queue.cost() * pool.msPerCost / pool.capacity;
    std::string text = "the queue is full, retry after " + base::secondsText(wholeSeconds(waitMs), 0) + " s";
    request_state *victim = m_requests.find(pool.queue.evictionCandidate(request.lane, request.facts.account, request.cost));
    if (victim == nullptr) {
        why = {base::error_kind::overloaded, std::move(text)};
        return false;
    }
    removeFromQueue(*victim);
    refuse(*victim, base::error_kind::overloaded, std::move(text));
    return true;
}

bool adaptive_director::isTooLate(request_state &request, base::time_point now)
{
    if (now <= request.latestStart) {
        return false;
    }
    pool_state &pool = *request.pool;
    if (now >= request.facts.deadline || now < pool.nextLateAdmission) {
        return true;
    }
    pool.nextLateAdmission = now + lateAdmissionInterval;
    request.latestStart = request.facts.deadline;
    return false;
}

void adaptive_director::enqueue(request_state &request, bool isRetry)
{
    pool_state &pool = *request.pool;
    request.queuedSince = base::clock::now();
    request.hasAskedForGrant = false;
    m_latestStarts.insert({request.latestStart, request.id});
    if (m_settings.isolateSuspects && m_suspects.isSuspect(request.facts.fingerprint)) {
        request.isSuspect = true;
        request.phase = request_phase::held;
        request.listPosition = pool.suspects.insert(pool.suspects.end(), request.id);
    } else if (request.isResumption()) {
        request.phase = request_phase::resuming;
        request.listPosition = pool.resumptions.insert(pool.resumptions.end(), request.id);
    } else {
        const fair_queue::item item{request.id, request.cost, request.queuedSince};
        request.phase = request_phase::queued;
        request.queuePosition =
            isRetry ? pool.queue.pushFront(request.lane, request.facts.account, item) : pool.queue.push(request.lane, request.facts.account, item);
    }
    markDirty(pool);
}

void adaptive_director::removeFromQueue(request_state &request)
{
    m_latestStarts.erase({request.latestStart, request.id});
    if (request.phase == request_phase::held) {
        request.pool->suspects.erase(request.listPosition);
    } else if (request.phase == request_phase::resuming) {
        request.pool->resumptions.erase(request.listPosition);
    } else {
        request.pool->queue.remove(request.lane, request.queuePosition);
    }
}

void adaptive_director::refuse(request_state &request, base::error_kind kind, std::string text)
{
    request.phase = request_phase::refused;
    m_refusals.push_back({request.id, {kind, std::move(text)}});
}

std::optional<base::reason> adaptive_director::crashReason(const request_facts &facts, bool isTrial) const
{
    if (m_suspects.isRefused(facts.fingerprint)) {
        return base::reason{base::error_kind::requestRefused, "identical requests crashed " + std::to_string(m_settings.crashesToRefuse) + " endpoints"};
    }
    if (!isTrial && refusedCause(facts)) {
        return base::reason{base::error_kind::requestRefused, "this request, or a part of its prompt, crashed the endpoints that began to answer it"};
    }
    return std::nullopt;
}

std::optional<std::uint64_t> adaptive_director::refusedCause(const request_facts &facts) const
{
    const std::optional<std::uint64_t> part = m_promptParts->refusedPart(facts.promptParts);
    return part ? part : m_promptParts->refusedPart({facts.fingerprint});
}

void adaptive_director::refuseExpired(base::time_point now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        request_state &request = *m_requests.find(m_latestStarts.begin()->second);
        removeFromQueue(request);
        refuse(request,
               base::error_kind::deadlineUnmeetable,
               "waited " + std::to_string((now - request.queuedSince).count()) + " ms in the queue and can no longer meet its deadline");
    }
}

void adaptive_director::dispatchSuspects(pool_state &pool, base::time_point now, std::vector<dispatch> &dispatches)
{
    for (auto position = pool.suspects.begin(); position != pool.suspects.end();) {
        request_state &request = *m_requests.find(*position);
        ++position;
        const std::uint64_t fingerprint = request.facts.fingerprint;
        if (m_suspects.isRefused(fingerprint)) {
            removeFromQueue(request);
            refuse(request, base::error_kind::requestRefused, "identical requests crashed " + std::to_string(m_settings.crashesToRefuse) + " endpoints");
            continue;
        }
        const base::time_point holdEnd = m_suspects.holdUntil(fingerprint, request.submitted);
        if (now < holdEnd) {
            continue;
        }
        // If there are more suspects than endpoints, they run in rounds, so that no two suspects share an endpoint.
        const std::size_t round = m_suspects.rankOf(fingerprint) / std::max<std::size_t>(1, pool.members.size());
        const base::time_point turnStart = holdEnd + static_cast<std::int64_t>(round) * suspectRoundInterval;
        if (now < turnStart || pool.members.empty()) {
            continue;
        }
        m_selector.refreshCandidates(pool, m_nodes, now);
        pool_member *member = m_selector.pickForSuspect(pool, request, now >= turnStart + assignedEndpointTimeout);
        if (member == nullptr) {
            continue;
        }
        removeFromQueue(request);
        startAttempt(request, *member, now);
        dispatches.push_back(dispatchOf(request, "suspected of causing a crash, isolated from other suspects"));
    }
}

bool adaptive_director::isProbeAllowed(const endpoint_state &endpoint, base::time_point now) const
{
    return !endpoint.isLeaving() && !endpoint.isDown && now >= endpoint.pausedUntil && m_rateLimits->maySend(endpoint.process());
}

bool adaptive_director::dispatchProbe(pool_state &pool, request_state &request, base::time_point now, std::vector<dispatch> &dispatches)
{
    pool_member *member = m_outliers.dueProbe(pool.members, pool.requests, now);
    if (member == nullptr || member->isAvoided || !isProbeAllowed(*member->endpoint, now)) {
        return false;
    }
    // Long and urgent requests are not sent to a slow endpoint unless there have been no other requests to probe with.
    const bool isHighValue = request.lane.isLong || request.lane.urgency == base::work_class::urgent;
    if (isHighValue && now < member->nextProbe + m_settings.probeInterval * highValueProbeIntervals) {
        return false;
    }
    m_outliers.recordProbe(*member, pool.requests, m_nodes, now);
    startAttempt(request, *member, now);
    dispatches.push_back(dispatchOf(request, "probe of an ejected endpoint"));
    return true;
}

bool adaptive_director::dispatchNext(pool_state &pool, base::work_class leastUrgent, base::time_point now, std::vector<dispatch> &dispatches)
{
    if (pool.queue.size() == 0) {
        return false;
    }
    m_selector.refreshCandidates(pool, m_nodes, now);
    if (!m_selector.hasRoom() || pool.inFlight >= pool.capacity) {
        if (pool.inFlight >= pool.capacity) {
            pool.limit.markSaturated();
        }
        return false;
    }
    const std::optional<admission_queue::lane> lane = pool.queue.choose(now, leastUrgent, m_selector.hasRoomForLong());
    if (!lane) {
        return false;
    }
    request_state &request = *m_requests.find(pool.queue.front(*lane)->request);
    if (std::optional<base::reason> crashing = crashReason(request.facts, request.isTrial)) {
        removeFromQueue(request);
        refuse(request, crashing->kind, std::move(crashing->text));
        return true;
    }
    std::string why;
    pool_member *member = m_selector.pick(pool, request, why);
    if (member == nullptr) {
        return false;
    }
    pool.queue.pop(*lane);
    m_latestStarts.erase({request.latestStart, request.id});
    if (!dispatchProbe(pool, request, now, dispatches)) {
        startAttempt(request, *member, now);
        dispatches.push_back(dispatchOf(request, std::move(why)));
    }
    return true;
}

void adaptive_director::startAttempt(request_state &request, pool_member &member, base::time_point now)
{
    endpoint_state &endpoint = *member.endpoint;
    request.phase = request_phase::running;
    request.endpoint = member.endpoint;
    request.process = endpoint.process();
    request.sent = request.lastSample = now;
    request.generated = 0;
    request.hasLasted = false;
    request.hasFirstByte = request.isFirstByteSamplePending = false;
    m_rateLimits->noteSent(endpoint.process());
    ++endpoint.inFlight;
    ++request.pool->inFlight;
    if (request.isSuspect) {
        ++endpoint.suspectsInFlight;
    }
    if (member.isAvoided) {
        endpoint.nextReportCheck = now + reportCheckInterval();
    }
    if (endpoint.isDown) {
        endpoint.nextTry = now + downRetryInterval;
    } else if (m_suspects.hasUnconfirmedLoss(endpoint.serial)) {
        endpoint.nextTry = now + unconfirmedLossInterval;
    }
    if (endpoint.inFlight >= endpoint.share(m_nodes)) {
        endpoint.limit.markSaturated();
    }
    if (!request.lane.isLong && request.pool->longThreshold < 1e300) {
        endpoint.lastShortWork = now;
    }
    setOutstanding(request, request.cost);
    setCountsAsLong(request, request.lane.isLong);
}

} // namespace chervilbend::routing
