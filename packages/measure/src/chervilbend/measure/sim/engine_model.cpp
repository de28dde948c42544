#include <chervilbend/measure/sim/engine_model.hpp>

#include <algorithm>

namespace chervilbend::measure
{

namespace
{

/// Tokens between two progress events of a stream.
constexpr double progressStride = 8;
/// Absorbs the rounding of event times, which could otherwise leave a threshold just out of reach.
constexpr double tolerance = 1e-7;

} // namespace

engine_model::engine_model(const engine_settings &settings)
    : m_settings(settings)
{
}

double engine_model::stepsPerMs() const
{
    const auto others = static_cast<double>(m_batch.size()) - 1;
    return 1 / (m_settings.stepMs * (1 + m_settings.slope * others) * m_slowness);
}

double engine_model::nextEvent() const
{
    if (m_batch.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    const auto next = std::min_element(m_batch.begin(), m_batch.end(), [](const stream &a, const stream &b) { return a.nextAt < b.nextAt; });
    return m_now + std::max(0.0, next->nextAt - m_steps) / stepsPerMs();
}

void engine_model::submit(std::size_t job, int promptTokens, int tokens, double now, std::vector<engine_event> &events)
{
    advance(now, events);
    m_queue.push_back({job, promptTokens, tokens});
    fillBatch(events);
}

void engine_model::fillBatch(std::vector<engine_event> &events)
{
    while (!m_queue.empty() && m_batch.size() < static_cast<std::size_t>(m_settings.slots)) {
        const queued_request next = m_queue.front();
        m_queue.pop_front();
        const double prefilled = m_steps + next.promptTokens / m_settings.promptTokensPerStep;
        m_batch.push_back({next.job, prefilled + 1, prefilled + next.tokens, prefilled + 1});
        events.push_back({engine_event::kind::started, next.job, 0});
    }
    ++m_version;
}

void engine_model::advance(double now, std::vector<engine_event> &events)
{
    if (!m_batch.empty()) {
        const double steps = (now - m_now) * stepsPerMs();
        m_steps += steps;
        m_work += steps * static_cast<double>(m_batch.size());
    }
    m_now = now;
    bool ended = false;
    for (stream &each : m_batch) {
        if (each.nextAt > m_steps + tolerance) {
            continue;
        }
        const int generated = static_cast<int>(m_steps + tolerance - each.firstByteAt) + 1;
        if (each.nextAt == each.firstByteAt) {
            events.push_back({engine_event::kind::firstByte, each.job, 1});
        }
        if (m_steps + tolerance >= each.endAt) {
            events.push_back({engine_event::kind::ended, each.job, static_cast<int>(each.endAt - each.firstByteAt + 1.5)});
            each.endAt = -1;
            ended = true;
            continue;
        }
        events.push_back({engine_event::kind::progress, each.job, generated});
        each.nextAt = std::min(each.nextAt + progressStride, each.endAt);
    }
    if (ended) {
        std::erase_if(m_batch, [](const stream &each) { return each.endAt < 0; });
        fillBatch(events);
    }
    ++m_version;
}

void engine_model::setSlowness(double factor, double now, std::vector<engine_event> &events)
{
    advance(now, events);
    m_slowness = factor;
    ++m_version;
}

std::vector<std::size_t> engine_model::crash()
{
    std::vector<std::size_t> lost;
    for (const stream &each : m_batch) {
        lost.push_back(each.job);
    }
    for (const queued_request &each : m_queue) {
        lost.push_back(each.job);
    }
    m_batch.clear();
    m_queue.clear();
    m_up = false;
    ++m_version;
    return lost;
}

void engine_model::restart()
{
    m_up = true;
    ++m_incarnation;
}

} // namespace chervilbend::measure
