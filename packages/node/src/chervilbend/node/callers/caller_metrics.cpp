#include <chervilbend/node/callers/caller_metrics.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/process_memory.hpp>
#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/request_attributes.hpp>

#include <limits>
#include <optional>
#include <string>

namespace chervilbend::node
{

namespace
{

constexpr std::array outcomeNames{"answered", "not_sent", "refused", "connection_lost", "timed_out", "cancelled"};

std::string stateLabel(base::run_state state)
{
    return state == base::run_state::notRun ? "not_run" : std::string(base::toString(state));
}

} // namespace

caller_metrics::caller_metrics(base::metric_registry &registry)
    : m_registry(registry)
    , m_retries(registry.counterFor("chervilbend_retries_total", "Attempts after the first one of a request"))
    , m_retryAfter(registry.summaryFor("chervilbend_retry_after_ms", "Retry-After of requests that were refused after routing, in milliseconds"))
    , m_skippedAnswers(registry.counterFor("chervilbend_skipped_answers_total", "Answers to other requests that came before the expected one"))
    , m_brokenStreams(registry.counterFor("chervilbend_broken_streams_total", "Streams that broke off after their first byte reached the caller"))
    , m_keptStreams(registry.counterFor("chervilbend_kept_streams_total", "Streams that went on at a silent endpoint since no other one continued them"))
    , m_tokens(registry.counterFor("chervilbend_tokens_total", "Generated tokens passed on to callers"))
{
    for (const run_evidence evidence : {run_evidence::none, run_evidence::notSent, run_evidence::namedRefusal, run_evidence::unnamedRefusal}) {
        m_failedAttempts[static_cast<std::size_t>(evidence)] = &registry.counterFor("chervilbend_failed_attempts_total",
                                                                                    "Failed attempts by the evidence that they have not run the request",
                                                                                    {{"evidence", std::string(toString(evidence))}});
    }
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        const std::string name(config::nameOf(static_cast<base::work_class>(i)));
        for (std::size_t outcome = 0; outcome < outcomeNames.size(); ++outcome) {
            m_classes[i].outcomes[outcome] = &registry.counterFor(
                "chervilbend_requests_total", "Finished requests by the outcome of their last attempt", {{"class", name}, {"outcome", outcomeNames[outcome]}});
        }
        m_classes[i].duration = &registry.summaryFor("chervilbend_request_duration_ms", "Time from a request's arrival to its end", {{"class", name}});
        m_classes[i].firstByte =
            &registry.summaryFor("chervilbend_first_byte_ms", "Time from a request's arrival to the first byte of its answer", {{"class", name}});
    }
}

void caller_metrics::registerGauges(const open_requests &open, const admission &requestAdmission, const net::http_server &server)
{
    m_registry.gaugeFor("chervilbend_open_requests", "Requests and orders that are not finished").readFrom([&open] {
        return static_cast<double>(open.size());
    });
    m_registry.gaugeFor("chervilbend_waiting_requests", "Requests that wait for their dispatch").readFrom([&requestAdmission] {
        return static_cast<double>(requestAdmission.waiting());
    });
    m_registry.gaugeFor("chervilbend_open_connections", "Callers' connections").readFrom([&server] { return static_cast<double>(server.openConnections()); });
    m_registry.gaugeFor("chervilbend_refused_connections", "Callers' connections refused at the limit since the start").readFrom([&server] {
        return static_cast<double>(server.refusedConnections());
    });
    for (const net::unanswered_reason reason : {net::unanswered_reason::callerLeft, net::unanswered_reason::aborted, net::unanswered_reason::brokenOff}) {
        m_registry.gaugeFor("chervilbend_unanswered_requests", "Requests without a complete answer since the start", {{"why", std::string(toString(reason))}})
            .readFrom([&server, reason] { return static_cast<double>(server.unanswered()[static_cast<std::size_t>(reason)]); });
    }
    m_registry.gaugeFor("chervilbend_resident_bytes", "Resident memory of the process; NaN if it is not known").readFrom([] {
        const std::optional<std::size_t> bytes = base::residentBytes();
        return bytes ? static_cast<double>(*bytes) : std::numeric_limits<double>::quiet_NaN();
    });
}

void caller_metrics::onFinished(base::work_class urgency, routing::request_outcome outcome, base::milliseconds elapsed)
{
    const class_metrics &metrics = m_classes[static_cast<std::size_t>(urgency)];
    metrics.outcomes[static_cast<std::size_t>(outcome)]->add();
    metrics.duration->add(static_cast<double>(elapsed.count()));
}

void caller_metrics::onFirstByte(base::work_class urgency, base::milliseconds elapsed)
{
    m_classes[static_cast<std::size_t>(urgency)].firstByte->add(static_cast<double>(elapsed.count()));
}

void caller_metrics::onProblem(base::error_kind kind)
{
    m_registry.counterFor("chervilbend_problems_total", "Problem documents sent to callers", {{"kind", std::string(base::answerFor(kind).name)}}).add();
}

void caller_metrics::onRetry()
{
    m_retries.add();
}

void caller_metrics::onRetryAfter(base::milliseconds retryAfter)
{
    m_retryAfter.add(static_cast<double>(retryAfter.count()));
}

void caller_metrics::onFailedAttempt(run_evidence evidence)
{
    m_failedAttempts[static_cast<std::size_t>(evidence)]->add();
}

void caller_metrics::onSkippedAnswer()
{
    m_skippedAnswers.add();
}

void caller_metrics::onBrokenStream()
{
    m_brokenStreams.add();
}

void caller_metrics::onKeptStream()
{
    m_keptStreams.add();
}

void caller_metrics::onTokens(std::int64_t count)
{
    m_tokens.add(count);
}

void caller_metrics::onOrder(base::run_state state, bool replayed)
{
    m_registry.counterFor("chervilbend_orders_total", "Finished orders by run state", {{"state", stateLabel(state)}, {"replayed", replayed ? "yes" : "no"}})
        .add();
}

} // namespace chervilbend::node
