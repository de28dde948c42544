#include <chervilbend/net/background_task.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

constexpr base::milliseconds restartDelay{1'000};

asio::awaitable<void> restartAfterFailure(std::string name, std::function<asio::awaitable<void>()> task)
{
    static const log4cxx::LoggerPtr logger = base::partLogger("task");
    while (true) {
        try {
            co_await task();
            co_return;
        } catch (const std::exception &failure) {
            LOG4CXX_ERROR(logger, base::log_event("taskFailed").with("task", name).with("why", failure.what()).text());
        }
        co_await sleepFor(restartDelay);
    }
}

} // namespace

void runInBackground(const asio::any_io_executor &executor, std::string name, std::function<asio::awaitable<void>()> task)
{
    asio::co_spawn(executor, restartAfterFailure(std::move(name), std::move(task)), asio::detached);
}

} // namespace chervilbend::net
