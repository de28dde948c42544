#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// A process on a busy host may be late by some intervals; a pause that matters is longer.
constexpr base::milliseconds longestSilence = 5 * traffic_director::pauseCheckInterval;

} // namespace

namespace
{

/// No retries for this long after a pool had to shed: a retry would displace first attempts.
constexpr base::milliseconds shedMemory{1000};
/// Time after a failed connection until the endpoint is tried again.
constexpr base::milliseconds downTime{1000};

} // namespace

void adaptive_director::firstByte(request_handle id)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running || request->hasFirstByte) {
        return;
    }
    const base::time_point now = base::clock::now();
    request->hasFirstByte = request->isFirstByteOpen = true;
    request->firstByteAt = now;
    request->endpoint->isDown = false;
}

void adaptive_director::progress(request_handle id, base::token_count generated)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running || generated.count() <= request->generated) {
        return;
    }
    const base::time_point now = base::clock::now();
    const auto fresh = static_cast<double>(generated.count() - request->generated);
    request->generated = generated.count();
    if (request->isFirstByteOpen && now == request->firstByteAt) {
        // Tokens that come with the first byte took the time until then: an answer that is not streamed comes as a whole.
        closeFirstByte(*request, request->inputCost + fresh);
    } else {
        closeFirstByte(*request, request->inputCost);
        // Several chunks in one millisecond are one sample: the clock cannot tell how long each of them took.
        if (now > request->lastSample) {
            addSample(*request, fresh, static_cast<long>(fresh), now);
        }
    }
    const auto done = static_cast<double>(request->generated);
    setOutstanding(*request, cost_predictor::remainingTokens(request->predictedTokens, done, request->facts.maxTokens));
    if (!request->countsAsLong && request->inputCost + done > request->pool->longThreshold) {
        setCountsAsLong(*request, true);
    }
}

void adaptive_director::closeFirstByte(request_state &request, double cost)
{
    if (!request.isFirstByteOpen) {
        return;
    }
    request.isFirstByteOpen = false;
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
    if (m_lastRunning && now - *m_lastRunning > longestSilence) {
        m_pauseEnd = now;
    }
    m_lastRunning = now;
}

bool adaptive_director::wasPaused(base::time_point since, base::time_point now) const
{
    // What arrived during the pause may be handled before the next checkForPause().
    return since < m_pauseEnd || (m_lastRunning && now - *m_lastRunning > longestSilence);
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

void adaptive_director::noteAnswer(request_state &request)
{
    const base::time_point now = base::clock::now();
    pool_state &pool = *request.pool;
    if (!request.hasFirstByte) {
        request.hasFirstByte = request.isFirstByteOpen = true;
        request.firstByteAt = now;
        request.endpoint->isDown = false;
        closeFirstByte(request, request.inputCost + static_cast<double>(request.generated));
    }
    const auto done = static_cast<double>(request.generated);
    pool.predictor.learn(request.facts.urgency, request.facts.maxTokens, done);
    pool.medianCost.add(request.inputCost + done);
    if (request.isSuspect) {
        m_suspicions.clear(request.facts.fingerprint);
    }
}

void adaptive_director::endAttempt(request_state &request, request_outcome outcome, base::time_point now)
{
    endpoint_state &endpoint = *request.endpoint;
    closeFirstByte(request, request.inputCost);
    switch (outcome) {
    case request_outcome::answered:
        noteAnswer(request);
        break;
    case request_outcome::notSent:
        endpoint.isDown = true;
        endpoint.downSince = now;
        endpoint.nextTry = now + downTime;
        m_suspicions.confirmCrash(endpoint.serial);
        break;
    case request_outcome::refused:
        endpoint.limit.noteRefused();
        request.pool->limit.noteRefused();
        break;
    case request_outcome::connectionLost:
        endpoint.nextTry = now;
        m_suspicions.noteLoss(endpoint.serial, request.facts.fingerprint, now);
        break;
    case request_outcome::timedOut:
        // An endpoint that never answers gives no other sample of its slowness.
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
        std::erase_if(m_refusals, [&](const refusal &given) { return given.request == id; });
    } else {
        takeFromQueue(*request);
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
    // The bound on the first dispatch has served its purpose; what counts now is whether the deadline can still be met.
    request->facts.latestDispatch = base::time_point::max();
    setLatestStart(*request);
    if (!mayRetry(*request, outcome, now, why)) {
        release(*request);
        return false;
    }
    enqueue(*request, true);
    return true;
}

bool adaptive_director::allowsRetry(request_handle id) const
{
    const request_state *const request = m_requests.find(id);
    if (request == nullptr) {
        return false;
    }
    const pool_state &pool = *request->pool;
    const bool isShedding = pool.hasShed && base::clock::now() - pool.lastShed < shedMemory;
    const auto budget = m_retries.find(request->facts.retryGroup);
    const bool isUsedUp = budget != m_retries.end() && budget->second.isUsedUp();
    const bool hasOther = std::any_of(pool.members.begin(), pool.members.end(), [&](const pool_member &member) {
        return member.endpoint != request->endpoint && !member.endpoint->facts.leaving && !member.endpoint->isDown;
    });
    return hasOther && !isShedding && !isUsedUp && pool.queue.size() == 0;
}

bool adaptive_director::mayRetry(const request_state &request, request_outcome outcome, base::time_point now, base::reason &why)
{
    retry_budget &retries = retriesOf(request);
    const pool_state &pool = *request.pool;
    const bool didNotRun = outcome == request_outcome::notSent || outcome == request_outcome::refused;
    const base::error_kind failure = outcome == request_outcome::refused ? base::error_kind::overloaded
        : didNotRun                                                      ? base::error_kind::endpointRefused
                                                                         : base::error_kind::endpointFailed;
    if (outcome == request_outcome::answered || outcome == request_outcome::cancelled) {
        why = {base::error_kind::internal, "nothing is left to retry"};
    } else if (!didNotRun && !request.facts.repeatable) {
        why = {failure, "it may have run and may not be repeated"};
    } else if (m_suspicions.isRefused(request.facts.fingerprint)) {
        why = {base::error_kind::requestRefused, "the same request crashed " + std::to_string(m_settings.crashesToRefuse) + " endpoints"};
    } else if (now > request.latestStart) {
        why = {failure, "its deadline leaves no time for a retry"};
    } else if (pool.queue.isCrowded() || (pool.hasShed && now - pool.lastShed < shedMemory)) {
        why = {failure, "no retry against an overloaded pool"};
    } else if (!retries.take()) {
        why = {failure, "the retry budget is used up"};
    } else {
        return true;
    }
    return false;
}

} // namespace chervilbend::routing
