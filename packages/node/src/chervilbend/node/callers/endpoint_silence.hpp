#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <memory>
#include <unordered_map>

namespace chervilbend::node
{

/// Distinguishes an endpoint that has stopped sending from one that only keeps a single response waiting.
///
/// An engine may queue a request, or preempt a response that has begun, for seconds while it works on others. That is no failure, and a
/// request that is sent elsewhere loses what was already done for it. Only an endpoint that sends none of several begun responses is silent.
class endpoint_silence
{
public:
    /// A response that has begun, from its first data to its end.
    class open_response
    {
    public:
        open_response(std::shared_ptr<endpoint_silence> silence, base::endpoint_id endpoint);
        ~open_response();
        open_response(const open_response &) = delete;
        open_response &operator=(const open_response &) = delete;

        /// Data of the response has arrived.
        void received();

    private:
        const std::shared_ptr<endpoint_silence> m_silence;
        const base::endpoint_id m_endpoint;
    };

    /// Whether no response of the endpoint has received data within @p timeout, although several have begun.
    bool isSilent(const base::endpoint_id &endpoint, base::milliseconds timeout) const;

private:
    struct endpoint_state {
        int openResponses = 0;
        base::time_point lastData;
    };

    std::unordered_map<base::endpoint_id, endpoint_state> m_endpoints;
};

} // namespace chervilbend::node
