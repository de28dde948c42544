#include <chervilbend/measure/sim/cluster_simulation.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>

#include <algorithm>
#include <cmath>
#include <string>

namespace chervilbend::measure
{

namespace
{

constexpr std::size_t zones = 3;
constexpr double sameZoneMs = 0.5;
constexpr double otherZoneMs = 4;
constexpr double pollMs = 2000;
/// Maximum age of the state that a load report describes, when the node gets it.
constexpr double reportLagMs = 1500;
constexpr double probeMs = 1000;

base::endpoint_id engineId(std::size_t engine)
{
    return base::endpoint_id("engine-" + std::to_string(engine));
}

std::size_t engineNumber(const base::endpoint_id &endpoint)
{
    return std::stoul(endpoint.value().substr(7));
}

} // namespace

cluster_simulation::cluster_simulation(const cluster_settings &settings, std::vector<job> jobs)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_jobs(std::move(jobs))
    , m_attempts(m_jobs.size())
    , m_engines(static_cast<std::size_t>(settings.engines), engine_model(settings.engine))
    , m_nodes(static_cast<std::size_t>(settings.nodes))
    , m_gossip(m_nodes.size())
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        m_nodes[node].director = settings.director(settings.seed * 1000 + node);
        m_nodes[node].director->setNodeCount(settings.nodes);
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            routing::endpoint_facts facts;
            facts.endpoint = engineId(engine);
            facts.zone = base::zone_id(std::to_string(engine % zones));
            facts.pools = {"model"};
            facts.zoneRoundTripMs = 2 * oneWayDelayMs(node, engine);
            m_nodes[node].director->setEndpoint(facts);
            schedule(uniform(m_random) * pollMs, event_kind::poll, node, engine);
        }
        schedule(uniform(m_random) * probeMs, event_kind::probe, node);
    }
    for (std::size_t index = 0; index < m_jobs.size(); ++index) {
        schedule(m_jobs[index].arrival, event_kind::arrival, index);
    }
    for (int engine = 0; engine < settings.slowEngines; ++engine) {
        schedule(settings.slowFromMs, event_kind::slowDown, static_cast<std::size_t>(engine));
    }
    if (settings.poisonSends > 0) {
        schedule(settings.slowFromMs, event_kind::poison, 0);
    }
    schedule(1000, event_kind::sample, 0);
}

cluster_simulation::~cluster_simulation() = default;

double cluster_simulation::oneWayDelayMs(std::size_t node, std::size_t engine) const
{
    return node % zones == engine % zones ? sameZoneMs : otherZoneMs;
}

void cluster_simulation::schedule(double when, event_kind what, std::size_t subject, std::size_t object, long version)
{
    m_events.push({when, m_sequence++, what, subject, object, version});
}

void cluster_simulation::setClock(double now)
{
    m_now = now;
    // The manual clock starts at 1 ms and counts whole milliseconds.
    const auto wholeMs = static_cast<std::int64_t>(now) + 1;
    m_clock.advance(base::milliseconds(wholeMs - base::clock::now().time_since_epoch().count()));
}

void cluster_simulation::run()
{
    while (!m_events.empty() && m_events.top().when <= m_settings.durationMs) {
        const event due = m_events.top();
        m_events.pop();
        setClock(due.when);
        handle(due);
    }
}

void cluster_simulation::handle(const event &due)
{
    std::vector<engine_event> events;
    switch (due.what) {
    case event_kind::arrival:
        submit(due.subject);
        break;
    case event_kind::engineAdvance:
        if (m_engines[due.subject].version() == due.version) {
            runEngine(due.subject);
        }
        break;
    case event_kind::engineArrival:
        arriveAtEngine(due.subject, due.object);
        break;
    case event_kind::poll:
        poll(due.subject, due.object);
        break;
    case event_kind::report:
        m_nodes[due.subject].director->setReport(engineId(due.object), m_reports[static_cast<std::size_t>(due.version)]);
        gossipSuspicions(due.subject);
        applyDecisions(due.subject);
        break;
    case event_kind::wakeup:
        if (m_nodes[due.subject].wakeup == due.when) {
            m_nodes[due.subject].wakeup = -1;
            applyDecisions(due.subject);
        }
        break;
    case event_kind::probe:
        schedule(m_now + probeMs, event_kind::probe, due.subject);
        if (m_nodes.size() > 1) {
            const std::size_t other = (due.subject + 1 + m_random() % (m_nodes.size() - 1)) % m_nodes.size();
            schedule(m_now + otherZoneMs, event_kind::gossip, other, due.subject);
            schedule(m_now + 2 * otherZoneMs, event_kind::gossip, due.subject, other);
        }
        break;
    case event_kind::gossip:
        for (const auto &[fingerprint, crashes] : m_gossip.receive(due.subject, due.object)) {
            m_nodes[due.subject].director->mergeRemoteSuspicion(fingerprint, crashes);
        }
        break;
    case event_kind::slowDown:
        m_engines[due.subject].setSlowness(m_settings.slowFactor, m_now, events);
        report(due.subject, events);
        break;
    case event_kind::poison: {
        job poison;
        poison.arrival = m_now;
        poison.deadline = m_now + 60'000;
        poison.tokens = poison.maxTokens = 100;
        poison.isPoison = true;
        poison.fingerprint = 666;
        poison.node = m_poisonSent++ % m_settings.nodes;
        m_jobs.push_back(poison);
        m_attempts.emplace_back();
        submit(m_jobs.size() - 1);
        break;
    }
    case event_kind::restart:
        if (due.object == 1) {
            crash(due.subject);
        } else {
            m_engines[due.subject].restart();
        }
        break;
    case event_kind::sample: {
        double sum = 0;
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            m_engines[engine].advance(m_now, events);
            report(engine, events);
            events.clear();
            sum += m_engines[engine].work();
        }
        m_work.push_back(sum);
        schedule(m_now + 1000, event_kind::sample, 0);
        break;
    }
    }
}

void cluster_simulation::submit(std::size_t index)
{
    const job &each = m_jobs[index];
    routing::request_facts facts;
    facts.pool = "model";
    facts.account = base::account_id("account-" + std::to_string(each.account));
    facts.urgency = each.urgency;
    facts.deadline = base::time_point(base::milliseconds(static_cast<std::int64_t>(each.deadline)));
    facts.promptTokens = base::token_count(each.promptTokens);
    facts.maxTokens = base::token_count(each.maxTokens);
    facts.fingerprint = each.fingerprint;
    const auto node = static_cast<std::size_t>(each.node);
    base::reason why;
    const std::optional<routing::request_handle> request = m_nodes[node].director->submit(facts, why);
    if (request) {
        m_nodes[node].jobs[*request] = index;
        m_attempts[index].request = *request;
    } else {
        markFailed(index, why.kind == base::error_kind::requestRefused);
    }
    applyDecisions(node);
}

void cluster_simulation::markFailed(std::size_t index, bool asSuspect)
{
    m_jobs[index].failed = m_now;
    m_jobs[index].wasRefusedAsSuspect = asSuspect;
    if (m_jobs[index].isPoison && m_poisonSent < m_settings.poisonSends) {
        schedule(m_now + m_settings.poisonPauseMs, event_kind::poison, 0);
    }
}

void cluster_simulation::applyDecisions(std::size_t node)
{
    node_state &state = m_nodes[node];
    for (const routing::dispatch &sent : state.director->takeDispatches()) {
        const std::size_t index = state.jobs.at(sent.request);
        const std::size_t engine = engineNumber(sent.endpoint);
        m_attempts[index].engine = engine;
        schedule(m_now + oneWayDelayMs(node, engine), event_kind::engineArrival, engine, index);
    }
    for (const routing::refusal &refused : state.director->takeRefusals()) {
        const std::size_t index = state.jobs.at(refused.request);
        state.jobs.erase(refused.request);
        markFailed(index, refused.why.kind == base::error_kind::requestRefused);
    }
    const auto next = static_cast<double>(state.director->nextWakeup().time_since_epoch().count());
    if (state.wakeup < 0 || next < state.wakeup) {
        // The director's clock is 1 ms ahead of the simulation time, see setClock().
        state.wakeup = std::max(next - 1, m_now + 0.5);
        schedule(state.wakeup, event_kind::wakeup, node);
    }
}

void cluster_simulation::arriveAtEngine(std::size_t engine, std::size_t index)
{
    if (!m_engines[engine].isUp()) {
        fail(index, routing::request_outcome::notSent);
        return;
    }
    std::vector<engine_event> events;
    m_jobs[index].arrivedAtEngine = m_now;
    const job each = m_jobs[index];
    m_engines[engine].submit(index, each.promptTokens, each.tokens, m_now, events);
    if (each.isPoison) {
        schedule(m_now + m_settings.poisonRunMs, event_kind::restart, engine, 1);
    }
    report(engine, events);
}

void cluster_simulation::runEngine(std::size_t engine)
{
    std::vector<engine_event> events;
    m_engines[engine].advance(m_now, events);
    report(engine, events);
}

void cluster_simulation::report(std::size_t engine, const std::vector<engine_event> &events)
{
    std::vector<std::size_t> changedNodes;
    for (const engine_event &each : events) {
        job &reported = m_jobs[each.job];
        const auto node = static_cast<std::size_t>(reported.node);
        routing::traffic_director &director = *m_nodes[node].director;
        const routing::request_handle request = m_attempts[each.job].request;
        switch (each.what) {
        case engine_event::kind::started:
            reported.started = m_now;
            break;
        case engine_event::kind::firstByte:
            director.firstByte(request);
            break;
        case engine_event::kind::progress:
            director.progress(request, base::token_count(each.generated));
            break;
        case engine_event::kind::ended:
            reported.ended = m_now;
            director.progress(request, base::token_count(each.generated));
            director.finish(request, routing::request_outcome::answered);
            m_nodes[node].jobs.erase(request);
            changedNodes.push_back(node);
            break;
        }
    }
    const double next = m_engines[engine].nextEvent();
    if (std::isfinite(next)) {
        schedule(std::max(next, m_now), event_kind::engineAdvance, engine, 0, m_engines[engine].version());
    }
    for (const std::size_t node : changedNodes) {
        applyDecisions(node);
    }
}

void cluster_simulation::fail(std::size_t index, routing::request_outcome outcome)
{
    const auto node = static_cast<std::size_t>(m_jobs[index].node);
    const routing::request_handle request = m_attempts[index].request;
    base::reason why;
    m_jobs[index].started = -1;
    if (!m_nodes[node].director->retry(request, outcome, why)) {
        m_nodes[node].jobs.erase(request);
        markFailed(index, why.kind == base::error_kind::requestRefused);
    }
    gossipSuspicions(node);
    applyDecisions(node);
}

void cluster_simulation::crash(std::size_t engine)
{
    if (!m_engines[engine].isUp()) {
        return;
    }
    ++m_crashes;
    schedule(m_now + m_settings.restartMs, event_kind::restart, engine, 0);
    for (const std::size_t index : m_engines[engine].crash()) {
        fail(index, routing::request_outcome::connectionLost);
    }
}

void cluster_simulation::gossipSuspicions(std::size_t node)
{
    if (m_gossip.merge(node, m_nodes[node].director->suspicions()).empty()) {
        return;
    }
    for (std::size_t other = node % zones; other < m_nodes.size(); other += zones) {
        if (other != node) {
            schedule(m_now + sameZoneMs, event_kind::gossip, other, node);
        }
    }
}

void cluster_simulation::poll(std::size_t node, std::size_t engine)
{
    schedule(m_now + pollMs, event_kind::poll, node, engine);
    if (!m_engines[engine].isUp()) {
        return;
    }
    routing::load_report loadReport;
    const double lag = 100 + uniform(m_random) * (reportLagMs - 100);
    loadReport.running = static_cast<std::int64_t>(m_engines[engine].running());
    loadReport.queued = static_cast<std::int64_t>(m_engines[engine].queued());
    loadReport.lag = base::milliseconds(static_cast<std::int64_t>(lag));
    loadReport.incarnation = m_engines[engine].incarnation();
    m_reports.push_back(loadReport);
    schedule(m_now + lag, event_kind::report, node, engine, static_cast<long>(m_reports.size() - 1));
}

} // namespace chervilbend::measure
