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

/// One request's life with the traffic director. Destroying it before finish() tells the director that the request was cancelled, so that
/// an abandoned coroutine never leaves its slot taken.
class admitted_request : public base::reason_holder
{
public:
    explicit admitted_request(admission &gate);
    ~admitted_request();
    admitted_request(const admitted_request &) = delete;
    admitted_request &operator=(const admitted_request &) = delete;

    /// Queues the request and waits for its dispatch. Without a value, the ticket is finished and lastReason() says why.
    boost::asio::awaitable<std::optional<routing::dispatch>> submit(routing::request_facts facts);

    /// Reports a failed attempt and waits for another dispatch. Without a value, the ticket is finished and lastReason() says why.
    boost::asio::awaitable<std::optional<routing::dispatch>> retry(routing::request_outcome outcome);

    /// Whether retry() would be granted now.
    bool allowsRetry() const;

    void firstByte();
    /// So many tokens in total so far.
    void progress(base::token_count generated);
    /// Ends the request; has an effect only once.
    void finish(routing::request_outcome outcome);

    /// False when the event loop destroys a coroutine after the admission, at the end of the process.
    bool isConnected() const
    {
        return !m_alive.expired();
    }

private:
    friend class admission;

    void onDispatch(routing::dispatch sent);
    void onRefusal(base::reason why);
    boost::asio::awaitable<std::optional<routing::dispatch>> decision();

    admission &m_admission;
    std::weak_ptr<admission *> m_alive;
    /// 0 when no ticket is open.
    routing::request_handle m_ticket = 0;
    std::optional<routing::dispatch> m_sent;
    std::optional<base::reason> m_refused;
    std::optional<net::timer> m_wake;
};

} // namespace chervilbend::node
