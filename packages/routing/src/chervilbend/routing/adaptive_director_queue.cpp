#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

namespace
{

/// Part of the predicted time that a request must still have. Predictions are means: with heavy-tailed lengths most requests are shorter.
constexpr double neededShare = 0.7;
/// A request that seems too late is let through this often per pool, so that a prediction that is too high is corrected.
constexpr base::milliseconds optimisticInterval{1000};
/// Time between two tries of an endpoint that is down.
constexpr base::milliseconds downInterval{1000};
/// Time between two requests to an endpoint whose connection broke and that is not known to be down.
constexpr base::milliseconds doubtInterval{100};

/// Time between two rounds of suspects; most crashes show within it.
constexpr base::milliseconds suspectRound{1000};
/// Time that a suspect waits for its own endpoint in the order of suspects before it takes another.
constexpr base::milliseconds suspectPatience{2000};
/// Probe intervals after which also long and urgent work probes.
constexpr int preciousDelay = 10;

std::string seconds(double ms)
{
    return std::to_string(static_cast<long>(std::ceil(std::max(1.0, ms / 1000)))) + " s";
}

} // namespace

std::optional<request_handle> adaptive_director::submit(const request_facts &facts, base::reason &why)
{
    const auto found = m_pools.find(facts.pool);
    const bool served = found != m_pools.end()
        && std::any_of(found->second->members.begin(), found->second->members.end(), [](const pool_member &member) { return !member.endpoint->facts.leaving; });
    if (!served) {
        why = {base::error_kind::noEndpoint, "no endpoint serves " + facts.pool};
        return std::nullopt;
    }
    if (m_suspicions.isRefused(facts.fingerprint)) {
        why = {base::error_kind::requestRefused, "the same request crashed " + std::to_string(m_settings.crashesToRefuse) + " endpoints"};
        return std::nullopt;
    }
    request_state &request = m_requests.add();
    request.facts = facts;
    request.submitted = base::clock::now();
    request.pool = found->second.get();
    ++request.pool->handleCount;
    retriesOf(request).earn();
    predict(request);
    if (!admit(request, why)) {
        release(request);
        return std::nullopt;
    }
    ++request.pool->requests;
    request.pool->meanCost += (request.cost - request.pool->meanCost) * 0.01;
    enqueue(request, false);
    return request.id;
}

void adaptive_director::predict(request_state &request)
{
    const pool_state &pool = *request.pool;
    request.inputCost = cost_predictor::inputCost(request.facts.promptTokens);
    request.predictedTokens = pool.predictor.outputTokens(request.facts.urgency, request.facts.maxTokens);
    request.cost = request.inputCost + request.predictedTokens;
    request.lane = {request.facts.urgency, request.cost > pool.longThreshold};
    setLatestStart(request);
}

void adaptive_director::setLatestStart(request_state &request) const
{
    const double left = std::max(1.0, request.cost - static_cast<double>(request.generated));
    const double needed = neededShare * left * request.pool->msPerCost;
    request.latestStart = request.facts.deadline - base::milliseconds(static_cast<std::int64_t>(std::min(needed, 1e12)));
    request.latestStart = std::min(request.latestStart, request.facts.latestDispatch);
}

bool adaptive_director::admit(request_state &request, base::reason &why)
{
    pool_state &pool = *request.pool;
    const base::time_point now = base::clock::now();
    if (isTooLate(request, now)) {
        why = {base::error_kind::deadlineUnmeetable, "needs about " + seconds(request.cost * pool.msPerCost) + ", more than its deadline leaves"};
        return false;
    }
    if (pool.queue.hasRoom(request.lane, request.cost)) {
        return true;
    }
    pool.hasShed = true;
    pool.lastShed = now;
    const double waitMs = pool.queue.cost() * pool.msPerCost / pool.capacity;
    std::string text = "the queue is full, retry after " + seconds(waitMs);
    request_state *victim = m_requests.find(pool.queue.leastValuable(request.lane, request.facts.account, request.cost));
    if (victim == nullptr) {
        why = {base::error_kind::overloaded, std::move(text)};
        return false;
    }
    takeFromQueue(*victim);
    refuse(*victim, base::error_kind::overloaded, std::move(text));
    return true;
}

bool adaptive_director::isTooLate(request_state &request, base::time_point now)
{
    if (now <= request.latestStart) {
        return false;
    }
    pool_state &pool = *request.pool;
    if (now >= request.facts.deadline || now < pool.nextOptimistic) {
        return true;
    }
    pool.nextOptimistic = now + optimisticInterval;
    request.latestStart = request.facts.deadline;
    return false;
}

void adaptive_director::enqueue(request_state &request, bool isRetry)
{
    pool_state &pool = *request.pool;
    request.queuedSince = base::clock::now();
    m_latestStarts.insert({request.latestStart, request.id});
    if (m_settings.isolateSuspects && m_suspicions.isSuspect(request.facts.fingerprint)) {
        request.isSuspect = true;
        request.phase = request_phase::held;
        request.heldPlace = pool.suspects.insert(pool.suspects.end(), request.id);
    } else {
        const fair_queue::item item{request.id, request.cost, request.queuedSince};
        request.phase = request_phase::queued;
        request.place = isRetry ? pool.queue.pushFront(request.lane, request.facts.account, item) : pool.queue.push(request.lane, request.facts.account, item);
    }
    markDirty(pool);
}

void adaptive_director::takeFromQueue(request_state &request)
{
    m_latestStarts.erase({request.latestStart, request.id});
    if (request.phase == request_phase::held) {
        request.pool->suspects.erase(request.heldPlace);
    } else {
        request.pool->queue.remove(request.lane, request.place);
    }
}

void adaptive_director::refuse(request_state &request, base::error_kind kind, std::string text)
{
    request.phase = request_phase::refused;
    m_refusals.push_back({request.id, {kind, std::move(text)}});
}

void adaptive_director::refuseExpired(base::time_point now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        request_state &request = *m_requests.find(m_latestStarts.begin()->second);
        takeFromQueue(request);
        refuse(request,
               base::error_kind::deadlineUnmeetable,
               "waited " + std::to_string((now - request.queuedSince).count()) + " ms and can no longer meet its deadline");
    }
}

void adaptive_director::sendSuspects(pool_state &pool, base::time_point now, std::vector<dispatch> &out)
{
    for (auto place = pool.suspects.begin(); place != pool.suspects.end();) {
        request_state &request = *m_requests.find(*place);
        ++place;
        const std::uint64_t fingerprint = request.facts.fingerprint;
        if (m_suspicions.isRefused(fingerprint)) {
            takeFromQueue(request);
            refuse(request, base::error_kind::requestRefused, "the same request crashed " + std::to_string(m_settings.crashesToRefuse) + " endpoints");
            continue;
        }
        const base::time_point held = m_suspicions.holdUntil(fingerprint, request.submitted);
        if (now < held) {
            continue;
        }
        // More suspects than endpoints run in rounds, so that each has an endpoint that it shares with no other suspect.
        const std::size_t round = m_suspicions.rankOf(fingerprint) / std::max<std::size_t>(1, pool.members.size());
        const base::time_point turn = held + static_cast<std::int64_t>(round) * suspectRound;
        if (now < turn || pool.members.empty()) {
            continue;
        }
        m_selector.survey(pool, m_nodes, now);
        pool_member *member = m_selector.pickForSuspect(pool, request, now >= turn + suspectPatience);
        if (member == nullptr) {
            continue;
        }
        takeFromQueue(request);
        start(request, *member, now);
        out.push_back({request.id, member->endpoint->facts.endpoint, "suspected of a crash, runs apart from other suspects"});
    }
}

bool adaptive_director::sendProbe(pool_state &pool, request_state &request, base::time_point now, std::vector<dispatch> &out)
{
    pool_member *member = m_slow.dueProbe(pool.members, pool.requests, now);
    if (member == nullptr || member->endpoint->facts.leaving || member->endpoint->isDown) {
        return false;
    }
    // Long and urgent work is not risked on a slow endpoint, unless there is no other work to probe with.
    const bool isPrecious = request.lane.isLong || request.lane.urgency == base::work_class::urgent;
    if (isPrecious && now < member->nextProbe + m_settings.probeInterval * preciousDelay) {
        return false;
    }
    m_slow.noteProbe(*member, pool.requests, m_nodes, now);
    start(request, *member, now);
    out.push_back({request.id, member->endpoint->facts.endpoint, "probes an ejected endpoint"});
    return true;
}

bool adaptive_director::sendOne(pool_state &pool, base::work_class least, base::time_point now, std::vector<dispatch> &out)
{
    if (pool.queue.size() == 0) {
        return false;
    }
    m_selector.survey(pool, m_nodes, now);
    if (!m_selector.hasRoom() || pool.inFlight >= pool.capacity) {
        if (pool.inFlight >= pool.capacity) {
            pool.limit.noteUsedUp();
        }
        return false;
    }
    const std::optional<admission_queue::lane> lane = pool.queue.choose(now, least, m_selector.hasRoomForLong());
    if (!lane) {
        return false;
    }
    request_state &request = *m_requests.find(pool.queue.front(*lane)->request);
    std::string why;
    pool_member *member = m_selector.pick(pool, request, why);
    if (member == nullptr) {
        return false;
    }
    pool.queue.pop(*lane);
    m_latestStarts.erase({request.latestStart, request.id});
    if (!sendProbe(pool, request, now, out)) {
        start(request, *member, now);
        out.push_back({request.id, member->endpoint->facts.endpoint, std::move(why)});
    }
    return true;
}

void adaptive_director::start(request_state &request, pool_member &member, base::time_point now)
{
    endpoint_state &endpoint = *member.endpoint;
    request.phase = request_phase::running;
    request.endpoint = member.endpoint;
    request.sent = request.lastSample = now;
    request.generated = 0;
    request.hasFirstByte = request.isFirstByteOpen = false;
    ++endpoint.inFlight;
    ++request.pool->inFlight;
    if (request.isSuspect) {
        ++endpoint.suspectsInFlight;
    }
    if (endpoint.isDown) {
        endpoint.nextTry = now + downInterval;
    } else if (m_suspicions.isUnjudged(endpoint.serial)) {
        endpoint.nextTry = now + doubtInterval;
    }
    if (endpoint.inFlight >= endpoint.share(m_nodes)) {
        endpoint.limit.noteUsedUp();
    }
    if (!request.lane.isLong && request.pool->longThreshold < 1e300) {
        endpoint.shortSeen = now;
    }
    setOutstanding(request, request.cost);
    setCountsAsLong(request, request.lane.isLong);
}

} // namespace chervilbend::routing
