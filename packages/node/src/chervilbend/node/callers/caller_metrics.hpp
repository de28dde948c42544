#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/metric_registry.hpp>
#include <chervilbend/base/work_class.hpp>
#include <chervilbend/node/callers/run_evidence.hpp>
#include <chervilbend/routing/request_outcome.hpp>

#include <array>

namespace chervilbend::net
{
class http_server;
}

namespace chervilbend::node
{

class admission;
class open_requests;

/// Metrics of caller requests, described in docs/metrics.md. Those of the request path are looked up once, at construction.
class caller_metrics
{
public:
    explicit caller_metrics(base::metric_registry &registry);

    /// Registers gauges for the current numbers of requests and connections. The arguments must outlive all use of the registry.
    void registerGauges(const open_requests &open, const admission &requestAdmission, const net::http_server &server);

    void onFinished(base::work_class urgency, routing::request_outcome outcome, base::milliseconds elapsed);
    void onFirstByte(base::work_class urgency, base::milliseconds elapsed);
    void onProblem(base::error_kind kind);
    void onRetry();
    /// A refusal tells its caller when to return.
    void onRetryAfter(base::milliseconds retryAfter);
    /// An attempt has failed, for which @p evidence tells whether it may have run.
    void onFailedAttempt(run_evidence evidence);
    /// An answer to another request has come before the expected one.
    void onSkippedAnswer();
    void onBrokenStream();
    /// A stream goes on at its endpoint, which had been silent, since no other one has continued it.
    void onKeptStream();
    void onTokens(std::int64_t count);
    void onOrder(base::run_state state, bool replayed);

private:
    struct class_metrics {
        std::array<base::counter *, 6> outcomes{};
        base::latency_summary *duration = nullptr;
        base::latency_summary *firstByte = nullptr;
    };

    base::metric_registry &m_registry;
    std::array<class_metrics, base::workClassCount> m_classes;
    base::counter &m_retries;
    base::latency_summary &m_retryAfter;
    /// By evidence.
    std::array<base::counter *, 4> m_failedAttempts{};
    base::counter &m_skippedAnswers;
    base::counter &m_brokenStreams;
    base::counter &m_keptStreams;
    base::counter &m_tokens;
};

} // namespace chervilbend::node
