#pragma once

#include <chervilbend/base/work_class.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace chervilbend::fakes
{

/// The places in an engine's batch. Requests beyond them wait, the most urgent first.
class batch_slots
{
public:
    /// A request's place, given back when it is destroyed, whether it waited or ran.
    class place
    {
    public:
        place(batch_slots &slots, base::work_class urgency);
        ~place();
        place(const place &) = delete;
        place &operator=(const place &) = delete;

        /// Waits until the request may run. False when the task was cancelled.
        boost::asio::awaitable<bool> enter();

    private:
        friend class batch_slots;

        batch_slots &m_slots;
        base::work_class m_urgency;
        bool m_runs = false;
        std::shared_ptr<net::timer> m_signal;
    };

    explicit batch_slots(std::size_t size);

    /// Calls @p listener after each change of running() or waiting().
    void onChange(std::function<void()> listener);

    std::size_t running() const
    {
        return m_running;
    }

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    void admit();
    void notify();

    std::size_t m_size;
    std::size_t m_running = 0;
    /// By urgency, then in the order of arrival.
    std::list<place *> m_waiting;
    std::function<void()> m_listener;
};

} // namespace chervilbend::fakes
