#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// Gap between two checks above which the process counts as paused. On a busy host a check can be late by a few intervals.
constexpr base::milliseconds pauseThreshold = 5 * traffic_director::pauseCheckInterval;
/// No retries are allowed for this long after a pool shed load: a retry would displace first attempts.
constexpr base::milliseconds shedRetryPause{1000};
/// Delay until an endpoint is tried again after a failed connection attempt.
constexpr base::milliseconds downRetryDelay{1000};

/// Time from the first event of an answer after which the parts of its prompt did not crash the endpoint.
constexpr base::milliseconds lastingTime{1000};

std::uint64_t processHash(const endpoint_process &process)
{
    return base::hash64(process.endpoint.value(), static_cast<std::uint64_t>(process.startedAt));
}

std::uint64_t serviceHash(const request_state &request)
{
    return base::hash64(request.facts.retryGroup);
}

bool isShedding(const pool_state &pool, base::time_point now)
{
    return pool.hasShed && now - pool.lastShed < shedRetryPause;
}

} // namespace

void adaptive_director::firstByte(request_handle id)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running || request->hasFirstByte) {
        return;
    }
    const base::time_point now = base::clock::now();
    request->hasFirstByte = request->isFirstByteSamplePending = true;
    request->firstByteAt = now;
    noteResponse(*request->endpoint);
}

void adaptive_director::progress(request_handle id, base::token_count generated)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running || generated.count() <= request->generated) {
        return;
    }
    const base::time_point now = base::clock::now();
    recordEvent(*request, now);
    const auto newTokens = static_cast<double>(generated.count() - request->generated);
    request->generated = generated.count();
    if (request->isFirstByteSamplePending && now == request->firstByteAt) {
        // Tokens that arrive with the first byte were generated before it: an answer that is not streamed arrives as a whole.
        takeFirstByteSample(*request, request->inputCost + newTokens);
    } else {
        takeFirstByteSample(*request, request->inputCost);
        // Chunks within the same millisecond form one sample: the clock's resolution is too low to time them separately.
        if (now > request->lastSample) {
            addSample(*request, newTokens, static_cast<long>(newTokens), now);
        }
    }
    const auto generatedTokens = static_cast<double>(request->generated);
    setOutstanding(*request, cost_predictor::remainingTokens(request->predictedTokens, generatedTokens, request->facts.maxTokens));
    if (!request->countsAsLong && request->inputCost + generatedTokens > request->pool->longThreshold) {
        setCountsAsLong(*request, true);
    }
}

void adaptive_director::takeFirstByteSample(request_state &request, double cost)
{
    if (!request.isFirstByteSamplePending) {
        return;
    }
    request.isFirstByteSamplePending = false;
    if (wasPaused(request.sent, request.firstByteAt)) {
        request.lastSample = request.firstByteAt;
        return;
    }
    const auto ms = static_cast<double>((request.firstByteAt - request.sent).count());
    request.endpoint->limit.addSample(ms, cost);
    request.pool->limit.addSample(ms, cost);
    addSample(request, cost, 1, request.firstByteAt);
}

void adaptive_director::checkForPause()
{
    const base::time_point now = base::clock::now();
    if (m_lastPauseCheck && now - *m_lastPauseCheck > pauseThreshold) {
        m_pauseEnd = now;
    }
    m_lastPauseCheck = now;
}

bool adaptive_director::wasPaused(base::time_point since, base::time_point now) const
{
    // Data that arrived during a pause may be handled before the next call of checkForPause().
    return since < m_pauseEnd || (m_lastPauseCheck && now - *m_lastPauseCheck > pauseThreshold);
}

void adaptive_director::addSample(request_state &request, double cost, long samples, base::time_point now)
{
    pool_member *const member = request.pool->memberOf(request.endpoint.get());
    if (member != nullptr && !wasPaused(request.lastSample, now)) {
        member->latency.add(static_cast<double>((now - request.lastSample).count()), std::max(cost, 1e-3), samples, now);
    }
    request.lastSample = now;
}

void adaptive_director::setOutstanding(request_state &request, double cost)
{
    request.endpoint->outstanding += cost - request.outstanding;
    request.outstanding = cost;
}

void adaptive_director::setCountsAsLong(request_state &request, bool isLong)
{
    const int change = (isLong ? 1 : 0) - (request.countsAsLong ? 1 : 0);
    request.countsAsLong = isLong;
    request.endpoint->longInFlight += change;
    request.pool->longInFlight += change;
}

void adaptive_director::recordAnswer(request_state &request)
{
    const base::time_point now = base::clock::now();
    pool_state &pool = *request.pool;
    if (!request.hasFirstByte) {
        request.hasFirstByte = request.isFirstByteSamplePending = true;
        request.firstByteAt = now;
        noteResponse(*request.endpoint);
        takeFirstByteSample(request, request.inputCost + static_cast<double>(request.generated));
    }
    const auto generatedTokens = static_cast<double>(request.generated);
    pool.predictor.addSample(request.facts.urgency, request.facts.maxTokens, generatedTokens + static_cast<double>(request.facts.receivedTokens.count()));
    pool.medianCost.add(request.inputCost + generatedTokens);
    if (request.generated > 0) {
        m_promptParts->recordLastingAnswer(request.facts.promptParts, serviceHash(request));
    }
    if (request.facts.fingerprint != 0) {
        m_promptParts->recordAnsweredRequest(request.facts.fingerprint);
    }
    if (request.isSuspect) {
        m_suspects.clear(request.facts.fingerprint);
    }
}

void adaptive_director::recordEvent(request_state &request, base::time_point now)
{
    if (request.generated == 0) {
        request.firstEventAt = now;
        m_promptParts->recordAnswer(request.facts.promptParts);
    } else if (!request.hasLasted && now - request.firstEventAt >= lastingTime) {
        request.hasLasted = true;
        m_promptParts->recordLastingAnswer(request.facts.promptParts, serviceHash(request));
    }
}

void adaptive_director::recordLoss(const request_state &request)
{
    if (request.hasLasted) {
        // The endpoint was lost long after it had begun this answer, thus hardly because of it. Long streams are lost with each crash of their endpoint.
        return;
    }
    std::vector<std::uint64_t> causes = request.facts.promptParts;
    if (request.facts.fingerprint != 0) {
        causes.push_back(request.facts.fingerprint);
    }
    m_promptParts->recordLoss(causes, processHash(request.process), {serviceHash(request), request.generated > 0});
}

void adaptive_director::endAttempt(request_state &request, request_outcome outcome, base::time_point now)
{
    endpoint_state &endpoint = *request.endpoint;
    takeFirstByteSample(request, request.inputCost);
    switch (outcome) {
    case request_outcome::answered:
        recordAnswer(request);
        break;
    case request_outcome::notSent:
        if (request.process == endpoint.process()) {
            m_unreachable->noteRefusedConnection(request.process);
        }
        [[fallthrough]];
    case request_outcome::notAttempted:
        endpoint.isDown = true;
        endpoint.downSince = now;
        endpoint.nextTry = now + downRetryDelay;
        m_suspects.confirmCrash(endpoint.serial);
        m_areReportsDue = true;
        break;
    case request_outcome::refused:
        endpoint.limit.recordRefusal();
        request.pool->limit.recordRefusal();
        break;
    case request_outcome::connectionLost:
        endpoint.nextTry = now;
        m_suspects.recordConnectionLoss(endpoint.serial, request.facts.fingerprint, now);
        recordLoss(request);
        break;
    case request_outcome::timedOut:
        // An endpoint that never answers yields no other latency sample.
        addSample(request, request.inputCost, 1, now);
        break;
    case request_outcome::cancelled:
        break;
    }
    setOutstanding(request, 0);
    setCountsAsLong(request, false);
    --endpoint.inFlight;
    --request.pool->inFlight;
    if (request.isSuspect) {
        --endpoint.suspectsInFlight;
    }
    markDirty(endpoint);
    markDirty(*request.pool);
}

void adaptive_director::finish(request_handle id, request_outcome outcome)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr) {
        return;
    }
    if (request->phase == request_phase::running) {
        endAttempt(*request, outcome, base::clock::now());
    } else if (request->phase == request_phase::refused) {
        std::erase_if(m_refusals, [&](const refusal &pending) { return pending.request == id; });
    } else {
        removeFromQueue(*request);
    }
    release(*request);
}

void adaptive_director::release(request_state &request)
{
    pool_state &pool = *request.pool;
    m_requests.remove(request);
    --pool.handleCount;
    dropPoolIfUnused(pool);
}

bool adaptive_director::retry(request_handle id, request_outcome outcome, base::reason &why)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running) {
        why = {base::error_kind::internal, "the request is not running"};
        return false;
    }
    const base::time_point now = base::clock::now();
    endAttempt(*request, outcome, now);
    // latestDispatch bounds only the first dispatch. For a retry, only the deadline counts.
    request->facts.latestDispatch = base::time_point::max();
    request->latestStart = latestStartFor(*request);
    if (!grantRetry(*request, outcome, now, why)) {
        release(*request);
        return false;
    }
    noteExpected(*request->pool);
    enqueue(*request, true);
    return true;
}

bool adaptive_director::allowsRetry(request_handle id) const
{
    const request_state *const request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running) {
        return false;
    }
    const pool_state &pool = *request->pool;
    const base::time_point now = base::clock::now();
    const auto budget = m_retryBudgets.find(request->facts.retryGroup);
    const bool isExhausted = budget != m_retryBudgets.end() && budget->second.isExhausted();
    const bool isInTime = now <= latestStartFor(*request) && !crashReason(request->facts);
    return isInTime && !isExhausted && !isShedding(pool, now) && pool.queue.size() == 0 && m_selector.hasRoomElsewhere(pool, *request, m_nodes, now);
}

bool adaptive_director::grantRetry(const request_state &request, request_outcome outcome, base::time_point now, base::reason &why)
{
    retry_budget &budget = retryBudgetOf(request);
    const pool_state &pool = *request.pool;
    const bool didNotRun = wasNotSent(outcome) || outcome == request_outcome::refused;
    const base::error_kind failure = outcome == request_outcome::refused ? base::error_kind::overloaded
        : didNotRun                                                      ? base::error_kind::endpointRefused
                                                                         : base::error_kind::endpointFailed;
    if (outcome == request_outcome::answered || outcome == request_outcome::cancelled) {
        why = {base::error_kind::internal, "the request was answered or cancelled, so there is nothing to retry"};
    } else if (!didNotRun && !request.facts.repeatable) {
        why = {failure, "the request may have run and is not repeatable"};
    } else if (std::optional<base::reason> crashing = crashReason(request.facts)) {
        why = std::move(*crashing);
    } else if (std::optional<base::reason> obstacle = resumptionObstacle(request.facts)) {
        why = std::move(*obstacle);
    } else if (now > request.latestStart) {
        why = {failure, "the deadline leaves no time for a retry"};
    } else if (pool.queue.isCongested() || isShedding(pool, now)) {
        why = {failure, "the pool is overloaded, so no retry is made"};
    } else if (!wasNotSent(outcome) && !budget.tryWithdraw()) {
        // An attempt that was not sent has not reached the service, so the next one is no retry to it.
        why = {failure, "the retry budget is exhausted"};
    } else {
        return true;
    }
    return false;
}

} // namespace chervilbend::routing
