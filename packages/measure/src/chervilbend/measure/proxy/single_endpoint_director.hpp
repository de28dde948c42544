#pragma once

#include <chervilbend/routing/traffic_director.hpp>

#include <utility>
#include <vector>

namespace chervilbend::measure
{

/// Sends every request immediately to the only endpoint, so that measurements show the cost of proxying without that of a routing policy.
class single_endpoint_director : public routing::traffic_director
{
public:
    void setEndpoint(const routing::endpoint_facts &facts) override
    {
        m_endpoint = facts.endpoint;
    }

    void removeEndpoint(const base::endpoint_id & /*endpoint*/) override
    {
    }

    void setReport(const base::endpoint_id & /*endpoint*/, const routing::load_report & /*report*/) override
    {
    }

    void setNodeCount(int /*nodes*/) override
    {
    }

    std::optional<routing::request_handle> submit(const routing::request_facts & /*facts*/, base::reason & /*why*/) override
    {
        m_dispatches.push_back({++m_last, m_endpoint, "only endpoint"});
        return m_last;
    }

    bool retry(routing::request_handle /*request*/, routing::request_outcome /*outcome*/, base::reason &why) override
    {
        why = {base::error_kind::overloaded, "no retries"};
        return false;
    }

    std::vector<routing::dispatch> takeDispatches() override
    {
        return std::exchange(m_dispatches, {});
    }

    std::vector<routing::refusal> takeRefusals() override
    {
        return {};
    }

    void firstByte(routing::request_handle /*request*/) override
    {
    }

    void progress(routing::request_handle /*request*/, base::token_count /*generated*/) override
    {
    }

    void finish(routing::request_handle /*request*/, routing::request_outcome /*outcome*/) override
    {
    }

    void mergeRemoteSuspicion(std::uint64_t /*fingerprint*/, int /*crashes*/) override
    {
    }

    std::vector<std::pair<std::uint64_t, int>> suspicions() const override
    {
        return {};
    }

    base::time_point nextWakeup() const override
    {
        return base::time_point::max();
    }

private:
    base::endpoint_id m_endpoint;
    std::vector<routing::dispatch> m_dispatches;
    routing::request_handle m_last = 0;
};

} // namespace chervilbend::measure
