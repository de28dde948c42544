#include <chervilbend/fakes/batch_slots.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

batch_slots::place::place(batch_slots &slots, base::work_class urgency)
    : m_slots(slots)
    , m_urgency(urgency)
{
    const auto behind = std::find_if(slots.m_waiting.begin(), slots.m_waiting.end(), [this](const place *other) { return other->m_urgency > m_urgency; });
    slots.m_waiting.insert(behind, this);
    slots.admit();
}

batch_slots::place::~place()
{
    if (m_runs) {
        --m_slots.m_running;
    } else {
        m_slots.m_waiting.remove(this);
    }
    m_slots.admit();
}

asio::awaitable<bool> batch_slots::place::enter()
{
    if (!m_runs) {
        m_signal = std::make_shared<net::timer>(co_await asio::this_coro::executor);
        m_signal->expires_at(net::distantFuture);
        const std::shared_ptr<net::timer> signal = m_signal;
        co_await signal->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return m_runs;
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
        place *const next = m_waiting.front();
        m_waiting.pop_front();
        next->m_runs = true;
        ++m_running;
        if (next->m_signal) {
            next->m_signal->cancel();
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
