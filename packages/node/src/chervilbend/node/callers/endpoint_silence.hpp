#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chervilbend::node
{

/// Distinguishes an endpoint that has stopped sending from one that only keeps a single response waiting.
///
/// An engine may queue a request, or preempt a response that has begun, for seconds while it works on others. That is no failure, and a
/// request that is sent elsewhere loses what was already done for it. Only an endpoint that sends none of several begun responses is silent, and only for
/// longer than its own pace explains: an endpoint whose events are steadily far apart is slow, and another one would run the same request beside it.
class endpoint_silence
{
public:
    /// A response that has begun, from its first data to its end.
    class open_response
    {
    public:
        /// @p firstWait is the time for which the first data was waited for; it counts as a pause until there are several.
        open_response(std::shared_ptr<endpoint_silence> silence, base::endpoint_id endpoint, base::milliseconds firstWait = base::milliseconds(0));
        ~open_response();
        open_response(const open_response &) = delete;
        open_response &operator=(const open_response &) = delete;

        /// Further data of the response has arrived.
        void received();
        /// The longest of the latest pauses between two parts of the response.
        base::milliseconds pace() const;

    private:
        /// Several, because an event may arrive in parts, with very short pauses between them.
        static constexpr std::size_t rememberedPauses = 8;
        /// A delay of this process cuts the pause after it short.
        static constexpr std::size_t minPauses = 2;

        const std::shared_ptr<endpoint_silence> m_silence;
        const base::endpoint_id m_endpoint;
        const base::milliseconds m_firstWait;
        base::time_point m_lastData;
        std::array<base::milliseconds, rememberedPauses> m_pauses{};
        std::size_t m_pauseCount = 0;
    };

    /// Whether no response of the endpoint has received data within @p timeout, nor within the time that its pace lets expect, although several have
    /// begun.
    bool isSilent(const base::endpoint_id &endpoint, base::milliseconds timeout) const;

private:
    struct endpoint_state {
        std::vector<const open_response *> openResponses;
        base::time_point lastData;

        /// The pace of its quickest response: the others may be queued or preempted.
        base::milliseconds pace() const;
    };

    std::unordered_map<base::endpoint_id, endpoint_state> m_endpoints;
};

} // namespace chervilbend::node
