#include <chervilbend/soak/attempt_ledger.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace chervilbend::soak
{

namespace
{

constexpr int okStatus = 200;
constexpr int unauthorizedStatus = 401;
/// A stop may cut what an endpoint is still at work on so long after its SIGTERM, if it was sent no later than that.
constexpr base::milliseconds lastSixthOfStop{6'667};
constexpr base::milliseconds latestSentInStop{3'000};
constexpr base::milliseconds longestStop{9'000};
/// A connection that ends sooner after a request was sent, before that was passed on, crosses the request.
constexpr base::milliseconds crossingTime{200};

/// Statuses that promise that the request has not run and never will.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view toString(request_kind kind)
{
    switch (kind) {
    case request_kind::order:
        return "order";
    case request_kind::stream:
        return "stream";
    case request_kind::feed:
        return "feed";
    case request_kind::query:
        break;
    }
    return "query";
}

} // namespace

bool mayRunOnceOnly(request_kind kind)
{
    return kind == request_kind::order || kind == request_kind::stream;
}

bool isPublic(request_kind kind)
{
    return kind == request_kind::query;
}

void attempt_ledger::onSent(const caller_attempt &attempt)
{
    std::vector<attempt_record> &sendings = m_attempts[attempt.id];
    if (mayRunOnceOnly(attempt.kind) && sendings.empty()) {
        m_requests[attempt.request].push_back(attempt.id);
    }
    sendings.emplace_back().attempt = attempt;
    ++m_sendings;
}

attempt_ledger::attempt_record &attempt_ledger::lastOf(const std::string &id)
{
    std::vector<attempt_record> &sendings = m_attempts[id];
    return sendings.empty() ? sendings.emplace_back() : sendings.back();
}

void attempt_ledger::onEnded(const std::string &id, attempt_end end)
{
    attempt_record &record = lastOf(id);
    ++m_statuses[end.status];
    ++m_ended;
    m_served += end.status == okStatus ? 1 : 0;
    record.end = std::move(end);
    record.endedAt = base::clock::now();
    record.hasEnded = true;
    check(record);
    if (record.end.status == unauthorizedStatus && record.attempt.key && record.attempt.key->validity == key_validity::always) {
        report("DENIED", record, {record.attempt.program});
    }
    const bool isCrossed = record.runs.empty() && record.endedAt - record.attempt.sentAt <= crossingTime;
    if (record.end.cut == cut_cause::byNode && !isCrossed) {
        const bool isExcused = mayBeCut(record);
        ++(isExcused ? m_cutBesideFaults : m_cut);
        if (!isExcused) {
            report("LOST", record, {record.attempt.program});
        }
    }
}

void attempt_ledger::onDisruption()
{
    m_lastDisruption = base::clock::now();
}

void attempt_ledger::onStop(std::size_t node, base::time_point at)
{
    m_stops[node].push_back(at);
}

bool attempt_ledger::mayBeCut(const attempt_record &record) const
{
    if (record.isSpoilt || m_lastDisruption >= record.attempt.sentAt - disruptionEffect) {
        return true;
    }
    const auto stops = m_stops.find(record.attempt.node);
    return stops != m_stops.end() && std::any_of(stops->second.begin(), stops->second.end(), [&](base::time_point stop) {
               return record.endedAt - stop >= lastSixthOfStop && record.endedAt - stop < longestStop && record.attempt.sentAt - stop <= latestSentInStop;
           });
}

void attempt_ledger::onWrongAnswer(const std::string &id, const std::string &what)
{
    const attempt_record &record = lastOf(id);
    report("MIXED (" + what + ")", record, {record.attempt.program});
}

void attempt_ledger::onRun(const fakes::served_run &run)
{
    ++m_runs;
    const auto found = m_attempts.find(run.attempt);
    if (found == m_attempts.end()) {
        ++m_unknownRuns;
        return;
    }
    attempt_record &record = lastOf(run.attempt);
    record.runs.push_back(run);
    check(record);
    checkAccount(record);
}

void attempt_ledger::onFaultyAnswer(fakes::answer_form form)
{
    ++m_forms[std::string(fakes::toString(form))];
}

void attempt_ledger::onSpoiltAnswer(const std::string &attempt)
{
    lastOf(attempt).isSpoilt = true;
}

void attempt_ledger::onRepeatOnConnection()
{
    ++m_repeatsOnConnection;
}

void attempt_ledger::onAuthorization(const std::string &attempt)
{
    attempt_record &record = lastOf(attempt);
    // A server may get a request that no caller sent, such as a health check.
    record.attempt.id = attempt;
    report("KEY", record, {record.attempt.program});
}

void attempt_ledger::checkAccount(const attempt_record &record)
{
    const std::optional<account_key> &key = record.attempt.key;
    if (!key) {
        return;
    }
    const fakes::served_run &run = record.runs.back();
    const bool needsKey = !isPublic(record.attempt.kind);
    const bool mayLackAccount = !needsKey && key->validity != key_validity::always;
    if (needsKey && key->validity == key_validity::never) {
        report("UNAUTHORIZED", record, {record.attempt.program});
    } else if (run.account != key->account && !(mayLackAccount && run.account.empty())) {
        report("ACCOUNT (" + run.account + ")", record, {record.attempt.program});
    }
    const bool isFirst = record.runs.size() == 1;
    if (const std::optional<quota_excess> excess = isFirst ? m_quotas.onRun(run.account, record.attempt.program, run.at) : std::nullopt) {
        const std::string found = std::to_string(excess->runs) + " runs of " + run.account + " in a window, allowed " + std::to_string(excess->allowed);
        m_breaches.push_back({"QUOTA", excess->programs, found + ", the last: " + storyOf(record)});
    }
}

/// Called after each run and at the end of the attempt, so that a run after the answer is found too.
void attempt_ledger::check(const attempt_record &record)
{
    if (!mayRunOnceOnly(record.attempt.kind) || record.runs.empty()) {
        return;
    }
    if (record.hasEnded && promisesNotRun(record.end.status)) {
        report("REFUSED", record, programsOf(record));
    }
    std::size_t runs = 0;
    for (const std::string &id : m_requests[record.attempt.request]) {
        for (const attempt_record &sending : m_attempts[id]) {
            runs += sending.runs.size();
        }
    }
    if (runs > 1) {
        report("TWICE", record, programsOf(record));
    }
}

/// Reports each rule once for an attempt.
void attempt_ledger::report(const std::string &rule, const attempt_record &record, std::set<std::string> programs)
{
    const std::string key = record.attempt.id;
    const bool isKnown = std::any_of(
        m_breaches.begin(), m_breaches.end(), [&](const breach &known) { return known.rule == rule && known.story.find(key) != std::string::npos; });
    if (!isKnown) {
        m_breaches.push_back({rule, std::move(programs), storyOf(record)});
    }
}

std::vector<attempt_ledger::attempt_record> attempt_ledger::sendingsOf(const attempt_record &record) const
{
    const auto found = m_requests.find(record.attempt.request);
    const std::vector<std::string> ids = found == m_requests.end() ? std::vector{record.attempt.id} : found->second;
    std::vector<attempt_record> all;
    for (const std::string &id : ids) {
        const std::vector<attempt_record> &sendings = m_attempts.at(id);
        all.insert(all.end(), sendings.begin(), sendings.end());
    }
    return all;
}

std::set<std::string> attempt_ledger::programsOf(const attempt_record &record) const
{
    std::set<std::string> all;
    std::set<std::string> atFault;
    for (const attempt_record &one : sendingsOf(record)) {
        all.insert(one.attempt.program);
        const bool wasFalselyRefused = one.hasEnded && promisesNotRun(one.end.status) && !one.runs.empty();
        if (wasFalselyRefused || one.runs.size() > 1) {
            atFault.insert(one.attempt.program);
        }
    }
    return atFault.empty() ? all : atFault;
}

std::string attempt_ledger::storyOf(const attempt_record &record) const
{
    std::ostringstream story;
    story << toString(record.attempt.kind) << ' ' << record.attempt.request;
    for (const attempt_record &one : sendingsOf(record)) {
        story << "; attempt " << one.attempt.id << " to front-" << one.attempt.node + 1 << (one.attempt.program.empty() ? "" : ", ") << one.attempt.program
              << " at " << (one.attempt.sentAt - m_startedAt).count() << " ms";
        for (const fakes::served_run &run : one.runs) {
            story << ", ran on " << run.server << " at " << (run.at - m_startedAt).count() << " ms (" << fakes::toString(run.form) << ')';
        }
        if (one.hasEnded) {
            story << ", answered " << one.end.status << " at " << (one.endedAt - m_startedAt).count() << " ms " << one.end.note;
        }
    }
    return story.str();
}

bool attempt_ledger::hasBreachAt(const std::string &program) const
{
    return std::any_of(m_breaches.begin(), m_breaches.end(), [&](const breach &one) { return program.empty() || one.programs.contains(program); });
}

std::string attempt_ledger::summary() const
{
    std::ostringstream text;
    text << "requests that may run once only " << m_requests.size() << ", attempts " << m_attempts.size() << ", sent " << m_sendings << ", runs " << m_runs;
    if (m_unknownRuns > 0) {
        text << ", runs of attempts that no caller sent " << m_unknownRuns;
    }
    text << "\nattempts that came again on the connection where they were refused: " << m_repeatsOnConnection;
    text << "\nanswers that nodes cut: " << m_cut << ", beside faults and at the end of stops: " << m_cutBesideFaults;
    text << "\nanswers by status, 0 for none:";
    for (const auto &[status, count] : m_statuses) {
        text << ' ' << status << ':' << count;
    }
    if (const std::string quotas = m_quotas.summary(); !quotas.empty()) {
        text << "\nmost runs of an account in 8 s: " << quotas;
    }
    text << "\nforms of faulty answers:";
    for (const auto &[form, count] : m_forms) {
        text << ' ' << form << ':' << count;
    }
    text << '\n';
    return text.str();
}

} // namespace chervilbend::soak
