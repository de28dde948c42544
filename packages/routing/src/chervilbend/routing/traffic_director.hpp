#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/routing/endpoint_facts.hpp>
#include <chervilbend/routing/load_report.hpp>
#include <chervilbend/routing/request_facts.hpp>
#include <chervilbend/routing/request_outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::routing
{

/// Names a submitted request until it is finished. Never 0.
using request_handle = std::uint64_t;

/// A request that is to be sent now.
struct dispatch {
    request_handle request = 0;
    base::endpoint_id endpoint;
    /// Why this endpoint, for the log line.
    std::string why;
};

/// A queued request that will not be sent.
struct refusal {
    request_handle request = 0;
    base::reason why;
};

/// Decides which request goes where and when. Does no I/O: the caller sends what takeDispatches() gives and reports what happened.
class traffic_director
{
public:
    static constexpr base::milliseconds pauseCheckInterval{200};

    virtual ~traffic_director() = default;

    /// Commands.

    virtual void setEndpoint(const endpoint_facts &facts) = 0;
    virtual void removeEndpoint(const base::endpoint_id &endpoint) = 0;
    virtual void setReport(const base::endpoint_id &endpoint, const load_report &report) = 0;
    /// How many nodes send to the same endpoints; a node uses its share of each endpoint's limit.
    virtual void setNodeCount(int nodes) = 0;

    /// Queues a request. No value, with @p why set, when it is refused at once.
    virtual std::optional<request_handle> submit(const request_facts &facts, base::reason &why) = 0;

    /// Queues a request again after an attempt that did not run, or that may be repeated. False when no retry is allowed; the ticket is
    /// then finished.
    virtual bool retry(request_handle request, request_outcome outcome, base::reason &why) = 0;

    /// Whether retry() would be granted now, as far as the state of the pool and the budget decide.
    virtual bool allowsRetry(request_handle /*request*/) const
    {
        return true;
    }

    /// The requests that may be sent now. Call after every command and at nextWakeup().
    virtual std::vector<dispatch> takeDispatches() = 0;
    /// The queued requests that were given up since the last call.
    virtual std::vector<refusal> takeRefusals() = 0;

    /// Tells that this process runs. Call every pauseCheckInterval: a longer silence means that the process was paused, and that times
    /// measured across it say nothing of the endpoints. Never called means that pauses are not looked for.
    virtual void checkForPause()
    {
    }

    /// The first byte of the answer has arrived.
    virtual void firstByte(request_handle request) = 0;
    /// So many tokens were generated so far.
    virtual void progress(request_handle request, base::token_count generated) = 0;
    /// The request has ended; its ticket is no longer valid.
    virtual void finish(request_handle request, request_outcome outcome) = 0;

    /// Fingerprints that other nodes suspect or refuse, and how many crashes they count.
    virtual void mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes) = 0;

    /// Queries.

    /// Own suspicions, for the other nodes.
    virtual std::vector<std::pair<std::uint64_t, int>> suspicions() const = 0;
    /// When takeDispatches() or takeRefusals() may have something new without a command.
    virtual base::time_point nextWakeup() const = 0;
};

} // namespace chervilbend::routing
