#include <chervilbend/node/callers/forwarded_request.hpp>

#include <chervilbend/fleet/stream_origins.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::node
{

forwarded_request::forwarded_request(admission &requestAdmission,
                                     caller_metrics &metrics,
                                     fleet::stream_origins *origins,
                                     std::shared_ptr<base::byte_budget> responseBudget,
                                     std::shared_ptr<net::http_exchange> callerExchange,
                                     forwarding_plan forwardingPlan)
    : exchange(std::move(callerExchange))
    , plan(std::move(forwardingPlan))
    , admitted(requestAdmission)
    , keptBytes(std::move(responseBudget))
    , m_metrics(metrics)
    , m_origins(origins)
{
    resetEvents();
}

void forwarded_request::resetEvents()
{
    events = event_scanner();
    if (plan.lastEvent) {
        events.setLastEvent(*plan.lastEvent);
    }
}

forwarded_request::~forwarded_request()
{
    finish(routing::request_outcome::cancelled);
}

void forwarded_request::startAttempt()
{
    m_isAtHelper = false;
    resetAttempt();
}

void forwarded_request::startRelayedAttempt()
{
    m_isAtHelper = true;
    resetAttempt();
}

void forwarded_request::resetAttempt()
{
    m_hasFirstByte = false;
    m_waitingSince = base::clock::now();
    m_successorBegunAt.reset();
    if (exchange->isStarted()) {
        events.resume();
    } else {
        resetEvents();
    }
    m_tokens = events.tokens().count() * plan.tokensPerEvent;
}

void forwarded_request::keep(std::shared_ptr<net::http_client_stream> answer)
{
    m_kept = kept_response{std::move(answer), endpoint, softwareVersion, events, m_lastPartAt.value_or(m_waitingSince)};
}

kept_response forwarded_request::takeKept()
{
    kept_response kept = std::move(*m_kept);
    m_kept.reset();
    endpoint = kept.endpoint;
    softwareVersion = kept.softwareVersion;
    events = kept.events;
    m_tokens = events.tokens().count() * plan.tokensPerEvent;
    m_hasFirstByte = false;
    m_waitingSince = kept.lastPartAt;
    return kept;
}

void forwarded_request::noteSuccessorBegun()
{
    if (m_kept) {
        m_successorBegunAt = base::clock::now();
    }
}

bool forwarded_request::hasRunTwiceFor(base::milliseconds duration) const
{
    return m_kept && m_successorBegunAt && base::clock::now() - *m_successorBegunAt >= duration;
}

void forwarded_request::dropKept()
{
    m_kept.reset();
}

bool forwarded_request::hasKeptGoneOn() const
{
    return m_kept && m_kept->answer->hasInput();
}

void forwarded_request::beginStream()
{
    if (m_hasBegunStream || m_isAtHelper || !plan.resumable) {
        return;
    }
    m_hasBegunStream = true;
    admitted.bindToVersion();
    if (m_origins) {
        m_origins->noteBegun({plan.stream, plan.service, softwareVersion});
    }
}

void forwarded_request::firstByte()
{
    if (!m_hasFirstByte) {
        m_hasFirstByte = true;
        m_timeToFirstByte = m_timeToFirstByte.value_or(base::clock::now() - m_arrivedAt);
        admitted.firstByte();
        m_metrics.onFirstByte(plan.facts.urgency, base::clock::now() - m_arrivedAt);
    }
}

void forwarded_request::recordStreamPart()
{
    const base::time_point now = base::clock::now();
    if (m_lastPartAt) {
        m_longestGap = std::max(m_longestGap, now - *m_lastPartAt);
    }
    m_lastPartAt = now;
}

void forwarded_request::progress(base::token_count generated)
{
    if (generated.count() > m_tokens) {
        m_metrics.onTokens(generated.count() - m_tokens);
        m_tokens = generated.count();
        admitted.progress(generated);
    }
}

void forwarded_request::finish(routing::request_outcome outcome)
{
    if (!m_finished && admitted.isConnected()) {
        m_finished = true;
        admitted.finish(outcome);
        if (m_hasBegunStream && m_origins) {
            m_origins->noteEnded(plan.stream, outcome == routing::request_outcome::answered);
        }
        m_metrics.onFinished(plan.facts.urgency, outcome, base::clock::now() - m_arrivedAt);
    }
}

} // namespace chervilbend::node
