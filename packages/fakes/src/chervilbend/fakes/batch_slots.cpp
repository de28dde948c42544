#include <chervilbend/fakes/batch_slots.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

batch_slots::slot::slot(batch_slots &slots, base::work_class urgency)
    : m_slots(slots)
    , m_urgency(urgency)
{
    const auto position = std::find_if(slots.m_waiting.begin(), slots.m_waiting.end(), [this](const slot *other) { return other->m_urgency > m_urgency; });
    slots.m_waiting.insert(position, this);
    slots.admit();
}

batch_slots::slot::~slot()
{
    if (m_admitted) {
        --m_slots.m_running;
    } else {
        m_slots.m_waiting.remove(this);
    }
    m_slots.admit();
}

asio::awaitable<bool> batch_slots::slot::acquire()
{
    if (!m_admitted) {
        m_admission = std::make_shared<net::timer>(co_await asio::this_coro::executor);
        m_admission->expires_at(net::distantFuture);
        const std::shared_ptr<net::timer> admission = m_admission;
        co_await admission->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return m_admitted;
}

batch_slots::batch_slots(std::size_t size)
    : m_size(size)
{
}

void batch_slots::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void batch_slots::admit()
{
    while (m_running < m_size && !m_waiting.empty()) {
        slot *const next = m_waiting.front();
        m_waiting.pop_front();
        next->m_admitted = true;
        ++m_running;
        if (next->m_admission) {
            next->m_admission->cancel();
        }
    }
    notify();
}

void batch_slots::notify()
{
    if (m_listener) {
        m_listener();
    }
}

} // namespace chervilbend::fakes
