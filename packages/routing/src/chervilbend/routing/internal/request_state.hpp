#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_process.hpp>
#include <chervilbend/routing/internal/admission_queue.hpp>
#include <chervilbend/routing/internal/fair_queue.hpp>
#include <chervilbend/routing/request_facts.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace chervilbend::routing
{

struct endpoint_state;
struct pool_state;

/// The phase of a request between its submission and its end.
enum class request_phase {
    free,
    queued,
    /// Waits in its pool's list of suspects.
    held,
    /// Continues a stream and waits in its pool's list of resumptions.
    resuming,
    running,
    /// Refused, but takeRefusals() has not returned the refusal yet.
    refused,
};

/// The director's state of a submitted request.
struct request_state {
    request_facts facts;
    request_handle id = 0;
    request_phase phase = request_phase::free;
    pool_state *pool = nullptr;
    /// The endpoint that the request runs on, or ran on before a retry.
    std::shared_ptr<endpoint_state> endpoint;
    /// The endpoint's process when the request was sent to it.
    endpoint_process process;

    double inputCost = 1;
    double predictedTokens = 0;
    /// Predicted cost.
    double cost = 1;
    /// This request's part of the endpoint's outstanding cost.
    double outstanding = 0;
    admission_queue::lane lane;
    fair_queue::item_position queuePosition;
    /// In the list of suspects or of resumptions.
    std::list<request_handle>::iterator listPosition;

    base::time_point submitted;
    base::time_point queuedSince;
    /// The request waits for a grant.
    bool hasAskedForGrant = false;
    /// The node's last report of its demand before that; the next one asks for the grant.
    std::uint64_t lastRateReport = 0;
    /// Time after which the request can no longer meet its deadline or must no longer be sent.
    base::time_point latestStart;
    base::time_point sent;
    base::time_point lastSample;
    std::int64_t generated = 0;
    /// When the first event of this attempt's answer arrived; only valid if generated is not 0.
    base::time_point firstEventAt;
    /// This attempt's answer has gone on for long enough to show that the parts of the prompt do not crash the endpoint.
    bool hasLasted = false;
    base::time_point firstByteAt;
    bool hasFirstByte = false;
    /// The latency sample of the first byte has not been taken yet, since only the following data shows whether the answer is streamed.
    bool isFirstByteSamplePending = false;
    bool isSuspect = false;
    /// The request is sent once although a part of its prompt is refused.
    bool isTrial = false;
    /// The request is counted in longInFlight of its endpoint and pool.
    bool countsAsLong = false;

    /// Whether only endpoints of one software version can serve it.
    bool isResumption() const
    {
        return !facts.softwareVersion.empty();
    }
};

/// The dispatch of a request whose attempt has been started.
dispatch dispatchOf(const request_state &request, std::string why);

} // namespace chervilbend::routing
