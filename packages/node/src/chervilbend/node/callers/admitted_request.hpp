#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/timer.hpp>
#include <chervilbend/routing/request_facts.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace chervilbend::node
{

class admission;

/// RAII handle of one request that is registered with the traffic director. Destroying it before finish() reports the request as cancelled,
/// so that an abandoned coroutine does not leak its endpoint slot.
class admitted_request : public base::reason_holder
{
public:
    explicit admitted_request(admission &requestAdmission);
    ~admitted_request();
    admitted_request(const admitted_request &) = delete;
    admitted_request &operator=(const admitted_request &) = delete;

    /// Queues the request and waits for its dispatch. On failure returns no value, the request is finished and lastReason() gives the cause.
    boost::asio::awaitable<std::optional<routing::dispatch>> submit(routing::request_facts facts);

    /// Reports a failed attempt and waits for another dispatch. On failure returns no value, the request is finished and lastReason() gives the
    /// cause.
    boost::asio::awaitable<std::optional<routing::dispatch>> retry(routing::request_outcome outcome);

    /// Whether the director would grant a retry() now.
    bool allowsRetry() const;

    /// Reports what the endpoint says of itself in its answer.
    void noteAnswer(const routing::endpoint_notice &notice);
    /// A stream has begun to arrive at the caller; only endpoints of the same software version can continue it.
    void bindToVersion();
    void firstByte();
    /// @p generated is the total number of tokens generated so far.
    void progress(base::token_count generated);
    /// Ends the request. Further calls have no effect.
    void finish(routing::request_outcome outcome);

    /// False if the admission no longer exists: at process exit, the event loop may destroy coroutines after it.
    bool isConnected() const
    {
        return !m_alive.expired();
    }

private:
    friend class admission;

    void onDispatch(routing::dispatch dispatched);
    void onRefusal(base::reason why);
    boost::asio::awaitable<std::optional<routing::dispatch>> waitForDecision();

    admission &m_admission;
    std::weak_ptr<admission *> m_alive;
    /// 0 if no request is open.
    routing::request_handle m_handle = 0;
    std::optional<routing::dispatch> m_dispatch;
    std::optional<base::reason> m_refusal;
    std::optional<net::timer> m_decisionTimer;
};

} // namespace chervilbend::node
