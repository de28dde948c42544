#pragma once

#include <chervilbend/base/byte_reservation.hpp>
#include <chervilbend/base/clock.hpp>
#include <chervilbend/node/callers/admitted_request.hpp>
#include <chervilbend/node/callers/event_scanner.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/kept_response.hpp>
#include <chervilbend/routing/request_outcome.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace chervilbend::fleet
{
class stream_origins;
}

namespace chervilbend::net
{
class http_exchange;
}

namespace chervilbend::node
{

class caller_metrics;

/// State of one request in the forwarder, over all attempts. Reports progress to the traffic director and the metrics, also when the
/// request's coroutine is cancelled.
class forwarded_request
{
public:
    /// @p origins may be nullptr; it must outlive the request. The parts of responses that are kept count towards @p responseBudget.
    forwarded_request(admission &requestAdmission,
                      caller_metrics &metrics,
                      fleet::stream_origins *origins,
                      std::shared_ptr<base::byte_budget> responseBudget,
                      std::shared_ptr<net::http_exchange> callerExchange,
                      forwarding_plan forwardingPlan);
    ~forwarded_request();
    forwarded_request(const forwarded_request &) = delete;
    forwarded_request &operator=(const forwarded_request &) = delete;

    void startAttempt();
    /// The same for an attempt that another node makes for this one, and that notes the beginning of the stream.
    void startRelayedAttempt();
    /// Keeps the response that is being forwarded, for the case that no other endpoint continues it.
    void keep(std::shared_ptr<net::http_client_stream> answer);
    /// The kept response, which is forwarded again from now on. There must be one.
    kept_response takeKept();
    /// While a response is kept, to be called when the header of another endpoint's response shows that the request has begun to run there.
    void noteSuccessorBegun();
    /// Whether the request has been at work for so long both at the endpoint of the kept response and at another one.
    bool hasRunTwiceFor(base::milliseconds duration) const;
    /// Closes the kept response, if any: another endpoint continues it.
    void dropKept();
    bool hasKept() const
    {
        return m_kept.has_value();
    }
    bool isKeptAt(const base::endpoint_id &at) const
    {
        return m_kept && m_kept->endpoint == at;
    }
    /// The endpoint of the kept response. There must be one.
    const base::endpoint_id &keptAt() const
    {
        return m_kept->endpoint;
    }
    /// Whether the endpoint of the kept response sends again.
    bool hasKeptGoneOn() const;
    /// The first event of a stream that can be resumed is about to go out to the caller. Only the first call has an effect.
    void beginStream();
    /// Only the first call of each attempt has an effect.
    void firstByte();
    /// To be called for every received part of a stream; measures the gap since the preceding part.
    void recordStreamPart();
    /// @p generated is the number of tokens generated so far in this attempt.
    void progress(base::token_count generated);
    /// Only the first call has an effect.
    void finish(routing::request_outcome outcome);

    const std::shared_ptr<net::http_exchange> exchange;
    const forwarding_plan plan;
    admitted_request admitted;
    bool hasFirstByte() const
    {
        return m_hasFirstByte;
    }

    /// Since when the next data of the current attempt has been waited for, while it has had none.
    base::time_point waitingSince() const
    {
        return m_waitingSince;
    }

    /// Time from the request's arrival to the first response byte of any attempt; no value before that.
    std::optional<base::milliseconds> timeToFirstByte() const
    {
        return m_timeToFirstByte;
    }

    /// Longest time between two consecutive parts of the stream, over all attempts.
    base::milliseconds longestGap() const
    {
        return m_longestGap;
    }

    /// Source of the stream that is being forwarded, and its software version.
    base::endpoint_id endpoint;
    base::software_version softwareVersion;
    /// Scans the stream over all attempts.
    event_scanner events;
    /// Memory for the part of a response that is kept until it can be forwarded.
    base::byte_reservation keptBytes;

private:
    void resetAttempt();
    void resetEvents();

    caller_metrics &m_metrics;
    fleet::stream_origins *m_origins;
    bool m_hasBegunStream = false;
    bool m_isAtHelper = false;
    base::time_point m_arrivedAt = base::clock::now();
    std::int64_t m_tokens = 0;
    bool m_hasFirstByte = false;
    base::time_point m_waitingSince = base::clock::now();
    std::optional<base::milliseconds> m_timeToFirstByte;
    std::optional<base::time_point> m_lastPartAt;
    base::milliseconds m_longestGap{0};
    std::optional<kept_response> m_kept;
    std::optional<base::time_point> m_successorBegunAt;
    bool m_finished = false;
};

} // namespace chervilbend::node
