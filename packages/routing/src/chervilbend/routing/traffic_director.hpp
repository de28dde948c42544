#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/routing/endpoint_facts.hpp>
#include <chervilbend/routing/endpoint_notice.hpp>
#include <chervilbend/routing/load_report.hpp>
#include <chervilbend/routing/request_facts.hpp>
#include <chervilbend/routing/request_outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::routing
{

/// Identifies a submitted request until it is finished. Never 0.
using request_handle = std::uint64_t;

/// A request that is to be sent now, and the endpoint to send it to.
struct dispatch {
    request_handle request = 0;
    base::endpoint_id endpoint;
    /// The reason for the choice of the endpoint, for the log.
    std::string why;
    /// That of the endpoint; empty if it is not known.
    base::software_version softwareVersion{};
};

/// A queued request that was refused and will not be sent.
struct refusal {
    request_handle request = 0;
    base::reason why;
};

/// Decides when each request is sent and to which endpoint. Does no I/O: the user of the class sends the requests that takeDispatches()
/// returns and reports their progress and outcome.
class traffic_director
{
public:
    static constexpr base::milliseconds pauseCheckInterval{200};

    virtual ~traffic_director() = default;

    /// Commands.

    virtual void setEndpoint(const endpoint_facts &facts) = 0;
    virtual void removeEndpoint(const base::endpoint_id &endpoint) = 0;
    virtual void setReport(const base::endpoint_id &endpoint, const load_report &report) = 0;
    /// Sets the number of nodes that send to the same endpoints. Each node uses an equal share of each endpoint's concurrency limit.
    virtual void setNodeCount(int nodes) = 0;

    /// Queues a request. Returns no value, and sets @p why, if the request is refused immediately.
    virtual std::optional<request_handle> submit(const request_facts &facts, base::reason &why) = 0;

    /// Queues a request again after a failed attempt that did not run or that may be repeated. Returns false, and sets @p why, if no retry
    /// is allowed; the request is then finished and its handle invalid.
    virtual bool retry(request_handle request, request_outcome outcome, base::reason &why) = 0;

    /// The time after which a request that has just been refused would probably succeed; no value if it has no time left for another attempt. The values
    /// for several callers differ, so that they do not return at the same time. Directors that make no estimate return no value for all requests.
    virtual std::optional<base::milliseconds> retryAfter(const request_facts & /*facts*/)
    {
        return std::nullopt;
    }

    /// Whether a running request that may be repeated would be sent to another endpoint at once if its attempt were given up now.
    virtual bool allowsRetry(request_handle /*request*/) const
    {
        return true;
    }

    /// Returns the requests that are to be sent now. Call after every command and at nextWakeup().
    virtual std::vector<dispatch> takeDispatches() = 0;
    /// Returns the queued requests that were refused since the last call.
    virtual std::vector<refusal> takeRefusals() = 0;

    /// Detects pauses of this process. Call every pauseCheckInterval: a much longer gap between two calls means that the process was
    /// paused, and times measured across the pause are not attributed to the endpoints. If this is never called, pauses go undetected.
    virtual void checkForPause()
    {
    }

    /// Reports what the endpoint of a running request says of itself in its answer. Call it for each answer, before the request ends or is retried.
    virtual void noteAnswer(request_handle /*request*/, const endpoint_notice & /*notice*/)
    {
    }
    /// A stream has begun to arrive at the caller: from now on only endpoints of the same software version as the present one can continue it.
    virtual void bindToVersion(request_handle /*request*/)
    {
    }
    /// Reports that the first byte of the answer has arrived.
    virtual void firstByte(request_handle request) = 0;
    /// Reports the number of tokens that were generated so far.
    virtual void progress(request_handle request, base::token_count generated) = 0;
    /// Reports the end of the request. Its handle is no longer valid.
    virtual void finish(request_handle request, request_outcome outcome) = 0;

    /// Merges a suspicion of another node: the fingerprint of a request and the number of crashes that the node attributes to it.
    virtual void mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes) = 0;

    /// Queries.

    /// This node's suspicions to be sent to the other nodes: fingerprints and numbers of crashes.
    virtual std::vector<std::pair<std::uint64_t, int>> suspicions() const = 0;
    /// The next time at which takeDispatches() or takeRefusals() may return something new without a preceding command.
    virtual base::time_point nextWakeup() const = 0;
};

} // namespace chervilbend::routing
