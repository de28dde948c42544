#include <chervilbend/node/callers/passage.hpp>

#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::node
{

passage::passage(admission &gate, caller_metrics &metrics, std::shared_ptr<net::http_exchange> caller, forwarding_plan how)
    : exchange(std::move(caller))
    , plan(std::move(how))
    , work(gate)
    , m_metrics(metrics)
{
    restartEvents();
}

void passage::restartEvents()
{
    events = event_scanner();
    if (plan.lastEvent) {
        events.startAfter(*plan.lastEvent);
    }
}

passage::~passage()
{
    finish(routing::request_outcome::cancelled);
}

void passage::startAttempt()
{
    m_hasFirstByte = false;
    if (exchange->isStarted()) {
        events.resume();
    } else {
        restartEvents();
    }
    m_tokens = events.tokens().count() * plan.tokensPerEvent;
}

void passage::firstByte()
{
    if (!m_hasFirstByte) {
        m_hasFirstByte = true;
        m_firstByteAfter = m_firstByteAfter.value_or(base::clock::now() - m_since);
        work.firstByte();
        m_metrics.onFirstByte(plan.facts.urgency, base::clock::now() - m_since);
    }
}

void passage::notePiece()
{
    const base::time_point now = base::clock::now();
    if (m_lastPiece) {
        m_longestGap = std::max(m_longestGap, now - *m_lastPiece);
    }
    m_lastPiece = now;
}

void passage::progress(base::token_count generated)
{
    if (generated.count() > m_tokens) {
        m_metrics.onTokens(generated.count() - m_tokens);
        m_tokens = generated.count();
        work.progress(generated);
    }
}

void passage::finish(routing::request_outcome outcome)
{
    if (!m_finished && work.isConnected()) {
        m_finished = true;
        work.finish(outcome);
        m_metrics.onFinished(plan.facts.urgency, outcome, base::clock::now() - m_since);
    }
}

} // namespace chervilbend::node
