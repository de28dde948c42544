#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/timer.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace chervilbend::node
{

class admitted_request;

/// Connects the traffic director, which does no I/O, with the coroutines that wait for its dispatch decisions.
class admission
{
public:
    admission(const boost::asio::any_io_executor &executor, routing::traffic_director &director);
    ~admission();
    admission(const admission &) = delete;
    admission &operator=(const admission &) = delete;

    /// Delivers the director's pending dispatches and refusals to the waiting requests, then schedules the director's next wake-up.
    /// Must be called after every direct call of a director's command, such as setEndpoint().
    void deliverDecisions();

    /// Ends the wait of all requests that have no dispatch yet.
    void refuseWaiting(const base::reason &why);

    /// When a request that has just been refused is to be sent again; no value if it has no time left for that.
    std::optional<base::milliseconds> retryAfter(const routing::request_facts &facts)
    {
        return m_director.retryAfter(facts);
    }

    /// Number of requests that wait for a dispatch or refusal.
    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    friend class admitted_request;

    void scheduleWakeup();

    boost::asio::any_io_executor m_executor;
    routing::traffic_director &m_director;
    net::timer m_timer;
    std::optional<base::time_point> m_wakeupAt;
    std::unordered_map<routing::request_handle, admitted_request *> m_waiting;
    std::shared_ptr<admission *> m_self;
};

} // namespace chervilbend::node
