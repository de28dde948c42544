#pragma once

#include <chervilbend/routing/traffic_director.hpp>

#include <deque>
#include <map>
#include <string>

namespace chervilbend::node::test
{

/// Dispatches each request immediately, round-robin over the endpoints of its pool, and records the calls.
class test_director : public routing::traffic_director
{
public:
    void setEndpoint(const routing::endpoint_facts &facts) override
    {
        for (const std::string &pool : facts.pools) {
            pools[pool].push_back(facts.endpoint);
        }
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

    std::optional<routing::request_handle> submit(const routing::request_facts &facts, base::reason &why) override
    {
        submitted.push_back(facts);
        if (pools[facts.pool].empty()) {
            why = {refusalKind, "no endpoint holds " + facts.pool};
            return std::nullopt;
        }
        const routing::request_handle handle = ++lastHandle;
        open[handle] = facts;
        queued.push_back(handle);
        return handle;
    }

    bool retry(routing::request_handle handle, routing::request_outcome outcome, base::reason &why) override
    {
        outcomes.push_back(outcome);
        if (retriesLeft == 0) {
            open.erase(handle);
            why = {base::error_kind::overloaded, "the retry budget is exhausted"};
            return false;
        }
        --retriesLeft;
        queued.push_back(handle);
        return true;
    }

    std::optional<base::milliseconds> retryAfter(const routing::request_facts & /*facts*/) override
    {
        return retryAfterRefusal;
    }

    bool allowsRetry(routing::request_handle /*handle*/) const override
    {
        return hasRoomElsewhere;
    }

    std::vector<routing::dispatch> takeDispatches() override
    {
        std::vector<routing::dispatch> dispatched;
        for (; !holdDispatches && !queued.empty(); queued.pop_front()) {
            const std::vector<base::endpoint_id> &pool = pools[open[queued.front()].pool];
            dispatched.push_back({queued.front(), pool[nextEndpoint++ % pool.size()], "round-robin", base::software_version("v1")});
        }
        return dispatched;
    }

    std::vector<routing::refusal> takeRefusals() override
    {
        return std::move(refusals);
    }

    void noteAnswer(routing::request_handle /*handle*/, const routing::endpoint_notice &notice) override
    {
        notices.push_back(notice);
    }

    void bindToVersion(routing::request_handle /*handle*/) override
    {
        ++bindings;
    }

    void firstByte(routing::request_handle /*handle*/) override
    {
        ++firstBytes;
    }

    void progress(routing::request_handle /*handle*/, base::token_count generated) override
    {
        tokens = generated.count();
    }

    void finish(routing::request_handle handle, routing::request_outcome outcome) override
    {
        outcomes.push_back(outcome);
        open.erase(handle);
        std::erase(queued, handle);
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
        return wakeup;
    }

    std::map<std::string, std::vector<base::endpoint_id>> pools;
    std::map<routing::request_handle, routing::request_facts> open;
    std::deque<routing::request_handle> queued;
    std::vector<routing::refusal> refusals;
    std::vector<routing::request_facts> submitted;
    std::vector<routing::request_outcome> outcomes;
    std::vector<routing::endpoint_notice> notices;
    base::time_point wakeup = base::time_point::max();
    routing::request_handle lastHandle = 0;
    std::size_t nextEndpoint = 0;
    std::int64_t tokens = 0;
    int firstBytes = 0;
    int bindings = 0;
    int retriesLeft = 0;
    /// Why a request for which there is no endpoint is refused.
    base::error_kind refusalKind = base::error_kind::noEndpoint;
    /// For callers of refused requests.
    std::optional<base::milliseconds> retryAfterRefusal = base::milliseconds(200);
    bool holdDispatches = false;
    bool hasRoomElsewhere = true;
};

} // namespace chervilbend::node::test
