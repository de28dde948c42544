#include <chervilbend/fleet/on_demand_read.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

on_demand_read::on_demand_read(std::function<asio::awaitable<bool>()> function)
    : m_function(std::move(function))
{
}

asio::awaitable<bool> on_demand_read::read(base::time_point until)
{
    const std::uint64_t wanted = m_begun + 1;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (m_ended < wanted && base::clock::now() < until) {
        if (m_ended == m_begun) {
            begin(executor);
        } else {
            co_await m_change.wait(until);
        }
    }
    co_return m_lastSucceeded >= wanted;
}

void on_demand_read::begin(const asio::any_io_executor &executor)
{
    ++m_begun;
    // A task of its own, because the one that asked may be cancelled while others wait.
    asio::co_spawn(executor, perform(), asio::detached);
}

asio::awaitable<void> on_demand_read::perform()
{
    bool succeeded = false;
    try {
        succeeded = co_await m_function();
    } catch (const std::exception &failure) {
        // The tasks that wait must be told; their next read may succeed.
        static const log4cxx::LoggerPtr logger = base::partLogger("store");
        LOG4CXX_ERROR(logger, base::log_event("readFailed").with("why", failure.what()).text());
    }
    m_ended = m_begun;
    m_lastSucceeded = succeeded ? m_ended : m_lastSucceeded;
    m_change.notify();
}

} // namespace chervilbend::fleet
