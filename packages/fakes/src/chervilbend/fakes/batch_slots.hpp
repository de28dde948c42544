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

/// The slots in an engine's batch. Requests beyond the batch size are queued by urgency, then in order of arrival.
class batch_slots
{
public:
    /// A request's slot or its entry in the queue. The destructor releases it.
    class slot
    {
    public:
        slot(batch_slots &slots, base::work_class urgency);
        ~slot();
        slot(const slot &) = delete;
        slot &operator=(const slot &) = delete;

        /// Waits until the request is admitted to the batch. False when the task was cancelled.
        boost::asio::awaitable<bool> acquire();

    private:
        friend class batch_slots;

        batch_slots &m_slots;
        base::work_class m_urgency;
        bool m_admitted = false;
        std::shared_ptr<net::timer> m_admission;
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
    /// Ordered by urgency, then by arrival.
    std::list<slot *> m_waiting;
    std::function<void()> m_listener;
};

} // namespace chervilbend::fakes
