#pragma once

#include <chervilbend/base/byte_budget.hpp>
#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/node/callers/endpoint_silence.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/native_protocol.hpp>
#include <chervilbend/node/callers/run_evidence.hpp>
#include <chervilbend/routing/request_outcome.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chervilbend::fleet
{
class stream_origins;
}

namespace chervilbend::net
{
class http_client;
class http_client_stream;
class http_exchange;
} // namespace chervilbend::net

namespace chervilbend::node
{

class admission;
class endpoint_directory;
class caller_metrics;
class endpoint_protocol;
class endpoint_reachability;
class forwarded_request;
class request_relay;

/// Forwards requests to endpoints, with retries, and their responses to the callers.
///
/// Non-streamed responses are buffered completely before the first byte is sent to the caller, up to a size limit. Streams are forwarded
/// incrementally, with backpressure: each piece must be accepted by the caller's socket before the next is read. A broken stream is resumed at
/// another endpoint if possible; one whose endpoint is merely silent is kept until another endpoint has begun to continue it. Otherwise the caller's connection
/// is closed without the terminating chunk; in the native protocol, an error event is sent first.
class forwarder
{
public:
    forwarder(admission &requestAdmission, endpoint_directory &endpoints, net::http_client &client, caller_metrics &metrics);

    /// For how long a request may be at work at two endpoints, the one of a kept response and its successor, counted from the header of the successor's
    /// response. The platform allows 400 ms until the first endpoint has stopped; the rest is for the links, for a busy event loop and for the endpoint, which
    /// has to notice that its connection was closed.
    static constexpr base::milliseconds maxConcurrentRun{150};

    /// Called when an endpoint refuses a request because it does not hold the required item.
    using missing_item_listener = std::function<void(const base::endpoint_id &endpoint, const fleet::requested_item &item)>;
    void setMissingItemListener(missing_item_listener listener);
    /// Maximum memory for the responses and parts of streams that are kept at a time, of all requests together. To be called before the first request.
    void setResponseLimit(base::byte_count limit);
    /// Where the beginnings of streams are noted; it must outlive the forwarder.
    void setStreamOrigins(fleet::stream_origins &origins);

    /// Notes what the requests show of the links to the endpoints; it must outlive the forwarder.
    void setReachability(endpoint_reachability &reachability);
    /// Passes requests on to other nodes while this one reaches no endpoint; it must outlive the forwarder.
    void setRelay(request_relay &relay);
    /// Whether refusals in the platform's protocol tell when another attempt would probably succeed, instead of a fixed time.
    void setRetryEstimation(bool isEnabled);

    boost::asio::awaitable<void> forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan);

    /// `Retry-After` for a request in the platform's protocol that is refused now and has not run; counted in the metrics. No value if it has no time
    /// left for another attempt.
    std::optional<base::milliseconds> retryAfterFor(const routing::request_facts &facts);
    bool estimatesRetryAfter() const
    {
        return m_estimatesRetryAfter;
    }

    /// Bytes of responses that are kept now.
    std::size_t keptBytes() const
    {
        return m_responseBudget->taken();
    }

private:
    static constexpr std::size_t defaultResponseLimit = 32 * 1024 * 1024;

    /// Result of one attempt.
    struct attempt_result {
        routing::request_outcome outcome = routing::request_outcome::answered;
        /// The response to the caller is finished or cannot be continued, so there is no further attempt.
        bool isFinal = false;
        bool mayHaveRun = false;
        run_evidence evidence = run_evidence::none;
        /// Status of the answer; 0 without one.
        int status = 0;
        /// Number of the connection that the answer came on; 0 without an answer.
        std::int64_t connection = 0;
        /// The connection had carried another request.
        bool isOnUsedConnection = false;
        base::reason why;
    };

    /// What has become of a request so far.
    struct forwarding_progress {
        int attempts = 0;
        /// Attempts that may have executed the request; only these count towards the route's limit.
        int countedAttempts = 0;
        bool mayHaveRun = false;
        /// The director has chosen the endpoint of the kept response once more.
        bool isBackAtKept = false;
        routing::request_outcome outcome = routing::request_outcome::refused;
        base::reason why;
        base::time_point startedAt = base::clock::now();
    };

    /// Both return whether the answer to the caller is finished.
    boost::asio::awaitable<bool> forwardToEndpoints(std::shared_ptr<forwarded_request> request, forwarding_progress &progress);
    /// Implemented in forwarder_relay.cpp.
    boost::asio::awaitable<bool> forwardToHelpers(std::shared_ptr<forwarded_request> request, forwarding_progress &progress);
    boost::asio::awaitable<attempt_result> attemptAtHelper(std::shared_ptr<forwarded_request> request, net::address helper, int attemptsUsed);
    /// Whether the request is to be passed on to another node now.
    bool mayRelay(const forwarded_request &request, const forwarding_progress &progress) const;
    /// Forwards the rest of the response that was kept. Returns whether the answer to the caller is finished.
    boost::asio::awaitable<bool> forwardKept(std::shared_ptr<forwarded_request> request, forwarding_progress &progress);
    /// Logs and adds up the result of an attempt. Returns whether the answer to the caller is finished.
    bool concludeAttempt(forwarded_request &request, attempt_result result, const std::string &target, forwarding_progress &progress);
    /// The result of an attempt without an answer.
    static attempt_result failedAttempt(const net::http_client &client);

    boost::asio::awaitable<attempt_result> attempt(std::shared_ptr<forwarded_request> request, routing::dispatch target, bool isLast);
    /// While it is so, requests are passed on to other nodes.
    bool isStranded() const;
    void noteWaiting();
    void noteFailure(const base::endpoint_id &endpoint, routing::request_outcome outcome);
    void noteAnswer(bool hasConnected);

    /// The answer to the caller has begun, and ends without its end.
    void noteBrokenOff(const forwarded_request &request, const forwarding_progress &progress);
    boost::asio::awaitable<void> refuse(std::shared_ptr<forwarded_request> request, base::reason why, bool mayHaveRun);
    /// Whether an attempt that has received nothing for its silence timeout may be given up for another endpoint: a stream only if the endpoint
    /// itself has fallen silent, because a stream may be queued or preempted for seconds.
    bool isAbandonable(const forwarded_request &request, const base::endpoint_id &endpoint) const;

    /// Whether the attempt at @p successor may go on beside the kept response. Ends one of the two when both have been at work for maxConcurrentRun.
    bool mayRunBesideKept(forwarded_request &request, const base::endpoint_id &successor) const;
    /// Ends the kept response in favour of an attempt that has begun and not yet brought an event.
    void endKept(forwarded_request &request) const;

    /// Implemented in forwarder_response.cpp: from the header of a response to its end.
    boost::asio::awaitable<attempt_result> forwardResponse(std::shared_ptr<forwarded_request> request,
                                                           const endpoint_protocol &protocol,
                                                           routing::dispatch target,
                                                           std::shared_ptr<net::http_client_stream> answer);
    boost::asio::awaitable<attempt_result> forwardCompleteResponse(std::shared_ptr<forwarded_request> request, std::shared_ptr<net::http_client_stream> answer);
    /// @p bufferedBody is the part of the body that has already been read from @p answer.
    boost::asio::awaitable<attempt_result> forwardStream(std::shared_ptr<forwarded_request> request,
                                                         std::shared_ptr<net::http_client_stream> answer,
                                                         std::string bufferedBody,
                                                         bool requiresDoneEvent);

    admission &m_admission;
    endpoint_directory &m_endpoints;
    net::http_client &m_client;
    caller_metrics &m_metrics;
    native_protocol m_nativeProtocol;
    missing_item_listener m_missingItemListener;
    fleet::stream_origins *m_streamOrigins = nullptr;
    endpoint_reachability *m_reachability = nullptr;
    request_relay *m_relay = nullptr;
    bool m_estimatesRetryAfter = false;
    /// Shared with the open requests, which may outlive the forwarder.
    std::shared_ptr<base::byte_budget> m_responseBudget = std::make_shared<base::byte_budget>(defaultResponseLimit);
    /// Shared with the open responses, which may outlive the forwarder.
    const std::shared_ptr<endpoint_silence> m_silence = std::make_shared<endpoint_silence>();
};

} // namespace chervilbend::node
