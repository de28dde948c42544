#include <chervilbend/fakes/in_process_log_service.hpp>

#include <chervilbend/net/sleep.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

in_process_log_service::in_process_log_service(std::shared_ptr<log_store> store)
    : m_store(std::move(store))
{
}

void in_process_log_service::setReachable(bool reachable)
{
    m_reachable = reachable;
    for (const auto &[subscription, wake] : m_waiting) {
        wake();
    }
}

asio::awaitable<external::append_result> in_process_log_service::append(std::string payload)
{
    if (m_store->faults().delay.count() > 0) {
        co_await net::sleepFor(m_store->faults().delay);
    }
    if (!isAvailable()) {
        fail(base::error_kind::logUnavailable, "the log service is unavailable");
        co_return external::append_result{external::append_status::refused, {}};
    }
    const external::append_result result = m_store->append(std::move(payload));
    if (result.status == external::append_status::unknown) {
        co_await net::sleepFor(m_store->faults().answerTimeout);
        fail(base::error_kind::logUnavailable, "no response to an append");
    }
    co_return result;
}

asio::awaitable<std::optional<external::log_page>> in_process_log_service::read(base::log_offset after, base::milliseconds wait)
{
    const base::time_point deadline = base::clock::now() + wait;
    if (m_store->faults().delay.count() > 0) {
        co_await net::sleepFor(m_store->faults().delay);
    }
    while (true) {
        if (!isAvailable()) {
            co_return fail(base::error_kind::logUnavailable, "the log service is unavailable");
        }
        external::log_page page = m_store->read(after);
        if (!page.records.empty() || base::clock::now() >= deadline) {
            co_return page;
        }
        co_await waitForChange(std::min(deadline, m_store->nextLateAppend()));
    }
}

bool in_process_log_service::isAvailable() const
{
    return m_reachable && !m_store->faults().outage;
}

asio::awaitable<void> in_process_log_service::waitForChange(base::time_point until)
{
    // The listeners hold a weak pointer, because this coroutine may be destroyed while it waits.
    const auto change = std::make_shared<net::timer>(co_await asio::this_coro::executor);
    change->expires_at(until);
    const auto wake = [waiting = std::weak_ptr(change)] {
        if (const auto timer = waiting.lock()) {
            timer->cancel();
        }
    };
    const std::uint64_t subscription = m_store->subscribe(wake);
    m_waiting.emplace(subscription, wake);
    co_await change->async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiting.erase(subscription);
    m_store->unsubscribe(subscription);
}

} // namespace chervilbend::fakes
