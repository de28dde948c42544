#include <chervilbend/node/callers/handler_guard.hpp>

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/http_exchange.hpp>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

void logCancelled(const net::http_exchange &exchange, const std::string &attempt, base::time_point startedAt)
{
    static const log4cxx::LoggerPtr logger = base::partLogger("route");
    const bool isAborted = exchange.cancelReason() == net::unanswered_reason::aborted;
    const auto target = exchange.request().target();
    LOG4CXX_INFO(logger,
                 base::log_event(isAborted ? "aborted" : "callerLeft")
                     .with("request", attempt)
                     .with("target", {target.data(), target.size()})
                     .with("answerBegun", exchange.isStarted())
                     .with("tookMs", (base::clock::now() - startedAt).count())
                     .text());
}

} // namespace

asio::awaitable<std::optional<std::string>> failureOf(asio::awaitable<void> handler, std::shared_ptr<net::http_exchange> exchange, std::string attempt)
{
    const base::time_point startedAt = base::clock::now();
    std::optional<std::string> failure;
    try {
        co_await std::move(handler);
    } catch (const boost::system::system_error &error) {
        if (error.code() == asio::error::operation_aborted) {
            logCancelled(*exchange, attempt, startedAt);
            throw;
        }
        failure = error.what();
    } catch (const std::exception &error) {
        failure = error.what();
    }
    co_return failure;
}

} // namespace chervilbend::node
