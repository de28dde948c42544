#pragma once

#include <chervilbend/routing/traffic_director.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace chervilbend::measure
{

/// Base class of the baseline directors: one pool, no urgency classes, no refusals, no retries. Derived classes choose the endpoint.
class baseline_director : public routing::traffic_director
{
public:
    void setEndpoint(const routing::endpoint_facts &facts) override;
    void removeEndpoint(const base::endpoint_id &endpoint) override;
    void setReport(const base::endpoint_id &endpoint, const routing::load_report &report) override;
    void setNodeCount(int nodes) override;
    std::optional<routing::request_handle> submit(const routing::request_facts &facts, base::reason &why) override;
    bool retry(routing::request_handle request, routing::request_outcome outcome, base::reason &why) override;
    std::vector<routing::dispatch> takeDispatches() override;
    std::vector<routing::refusal> takeRefusals() override;
    void firstByte(routing::request_handle request) override;
    void progress(routing::request_handle request, base::token_count generated) override;
    void finish(routing::request_handle request, routing::request_outcome outcome) override;
    void mergeRemoteSuspicion(std::uint64_t fingerprint, int crashes) override;
    std::vector<std::pair<std::uint64_t, int>> suspicions() const override;
    base::time_point nextWakeup() const override;

protected:
    struct target {
        base::endpoint_id endpoint;
        int inFlight = 0;
    };

    /// Returns the index in targets() for the oldest waiting request, or nothing while the request must wait.
    virtual std::optional<std::size_t> choose() = 0;

    const std::vector<target> &targets() const
    {
        return m_targets;
    }
    std::size_t leastOutstanding() const;
    int nodeCount() const
    {
        return m_nodes;
    }
    std::size_t inFlight() const
    {
        return m_running.size();
    }

private:
    std::vector<target> m_targets;
    std::vector<routing::request_handle> m_waiting;
    std::map<routing::request_handle, std::size_t> m_running;
    routing::request_handle m_last = 0;
    int m_nodes = 1;
};

} // namespace chervilbend::measure
