#include <chervilbend/node/callers/handler_guard.hpp>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

asio::awaitable<std::optional<std::string>> failureOf(asio::awaitable<void> handler)
{
    std::optional<std::string> failure;
    try {
        co_await std::move(handler);
    } catch (const boost::system::system_error &error) {
        if (error.code() == asio::error::operation_aborted) {
            throw;
        }
        failure = error.what();
    } catch (const std::exception &error) {
        failure = error.what();
    }
    co_return failure;
}

} // namespace chervilbend::node
