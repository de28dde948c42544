#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/control/demand_source.hpp>
#include <chervilbend/node/request_end_listener.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervilbend::node
{

/// Decorator of a traffic director that measures the demand for each model and reports the end of each request to a listener.
///
/// Demand is the number of endpoints that the offered requests would keep busy: by Little's law, the arrival rate times the mean service
/// time is the number of requests in service, and an endpoint serves @c slotsPerEndpoint of them concurrently.
class metered_director : public routing::traffic_director, public control::demand_source
{
public:
    /// @p inner must outlive the object. @p slotsPerEndpoint is raised to 1 if it is less.
    metered_director(routing::traffic_director &inner, double slotsPerEndpoint);

    void setEndpoint(const routing::endpoint_facts &facts) override;
    void removeEndpoint(const base::endpoint_id &endpoint) override;
    void setReport(const base::endpoint_id &endpoint, const routing::load_report &report) override;
    void setNodeCount(int nodes) override;
    std::optional<routing::request_handle> submit(const routing::request_facts &facts, base::reason &why) override;
    bool retry(routing::request_handle request, routing::request_outcome outcome, base::reason &why) override;
    std::optional<base::milliseconds> retryAfter(const routing::request_facts &facts) override;
    bool allowsRetry(routing::request_handle request) const override;
    std::vector<routing::dispatch> takeDispatches() override;
    std::vector<routing::refusal> takeRefusals() override;
    void checkForPause() override;
    void noteAnswer(routing::request_handle request, const routing::endpoint_notice &notice) override;
    void bindToVersion(routing::request_handle request) override;
    void firstByte(routing::request_handle request) override;
    void progress(routing::request_handle request, base::token_count generated) override;
    void finish(routing::request_handle request, routing::request_outcome outcome) override;
    void mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes) override;
    std::vector<std::pair<std::uint64_t, int>> suspicions() const override;
    base::time_point nextWakeup() const override;

    /// Sets the listener that is notified of the end of each request, or nullptr for none. It must outlive the object.
    void setListener(request_end_listener *listener);

    membership::demand_by_item demand() const override;

private:
    struct open_request {
        routing::request_facts facts;
        std::optional<base::time_point> sentAt;
    };

    struct demand_meter {
        /// Arrival times within the last ten seconds.
        std::deque<base::time_point> arrivals;
        /// Exponentially weighted moving average of the service time, in milliseconds.
        double meanServiceMs = initialMeanServiceMs;
    };

    /// Service time assumed for a model that has not answered yet, so that a model that is loaded nowhere still has demand.
    static constexpr double initialMeanServiceMs = 1'000;

    void notifyEnd(const routing::request_facts &facts, request_result end, std::optional<base::error_kind> refusal = std::nullopt) const;

    routing::traffic_director &m_inner;
    request_end_listener *m_listener = nullptr;
    double m_slotsPerEndpoint;
    std::unordered_map<routing::request_handle, open_request> m_openRequests;
    mutable std::map<std::string, demand_meter> m_meters;
};

} // namespace chervilbend::node
