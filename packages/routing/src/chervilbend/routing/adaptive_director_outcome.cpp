#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// No retries for this long after a pool had to shed: a retry would displace first attempts.
constexpr base::milliseconds shedMemory{1000};
/// Time after a failed connection until the endpoint is tried again.
constexpr base::milliseconds downTime{1000};

} // namespace

void adaptive_director::firstByte(ticket id)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running || request->hasFirstByte) {
        return;
    }
    const base::time_point now = base::clock::now();
    request->hasFirstByte = true;
    addFirstByteSample(*request, now);
    addSample(*request, request->inputCost, now);
}

void adaptive_director::progress(ticket id, base::token_count generated)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running || generated.count() <= request->generated) {
        return;
    }
    const base::time_point now = base::clock::now();
    const auto fresh = static_cast<double>(generated.count() - request->generated);
    request->generated = generated.count();
    // Several chunks in one millisecond are one sample: the clock cannot tell how long each of them took.
    if (now > request->lastSample) {
        addSample(*request, fresh, now);
    }
    const auto done = static_cast<double>(request->generated);
    setOutstanding(*request, cost_predictor::remainingTokens(request->predictedTokens, done, request->facts.maxTokens));
    if (!request->countsAsLong && request->inputCost + done > request->pool->longThreshold) {
        setCountsAsLong(*request, true);
    }
}

void adaptive_director::addFirstByteSample(request_state &request, base::time_point now)
{
    const auto ms = static_cast<double>((now - request.sent).count());
    request.endpoint->limit.addSample(ms, request.inputCost);
    request.pool->limit.addSample(ms, request.inputCost);
    request.endpoint->isDown = false;
}

void adaptive_director::addSample(request_state &request, double cost, base::time_point now)
{
    if (pool_member *member = request.pool->memberOf(request.endpoint.get())) {
        member->latency.add(static_cast<double>((now - request.lastSample).count()), std::max(cost, 1e-3), now);
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
        addFirstByteSample(request, now);
        addSample(request, request.inputCost + static_cast<double>(request.generated), now);
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
        addSample(request, request.inputCost, now);
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

void adaptive_director::finish(ticket id, request_outcome outcome)
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
    --pool.tickets;
    dropPoolIfUnused(pool);
}

bool adaptive_director::retry(ticket id, request_outcome outcome, base::reason &why)
{
    request_state *request = m_requests.find(id);
    if (request == nullptr || request->phase != request_phase::running) {
        why = {base::error_kind::internal, "the request is not running"};
        return false;
    }
    const base::time_point now = base::clock::now();
    endAttempt(*request, outcome, now);
    if (!mayRetry(*request, outcome, now, why)) {
        release(*request);
        return false;
    }
    enqueue(*request, true);
    return true;
}

bool adaptive_director::mayRetry(const request_state &request, request_outcome outcome, base::time_point now, base::reason &why)
{
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
    } else if (!m_retries.take()) {
        why = {failure, "the retry budget is used up"};
    } else {
        return true;
    }
    return false;
}

} // namespace chervilbend::routing
