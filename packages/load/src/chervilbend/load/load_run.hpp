#pragma once

#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/load/balancer.hpp>
#include <chervilbend/load/history_writer.hpp>
#include <chervilbend/load/load_options.hpp>
#include <chervilbend/load/sender.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace chervilbend::load
{

/// Simulates concurrent callers for a limited time. Random choices are reproducible from the seed, timing is not.
class load_run
{
public:
    load_run(load_options options, history_writer &history);

    /// Returns when the last caller has finished.
    void run();

private:
    boost::asio::awaitable<void> runCompletionCaller(std::string kind, int caller);
    boost::asio::awaitable<void> runOrderCaller(int caller);
    /// Retries until a complete response arrives or the retry timeout expires.
    boost::asio::awaitable<void> runCompletion(std::string kind, std::string request, std::string model);
    boost::asio::awaitable<void> runOrder(std::string key);
    boost::asio::awaitable<attempt> sendOrder(std::string key, std::string request, int number, net::address node, bool marksFirstAttempt);
    boost::asio::awaitable<void> sendDuplicateOrder(std::string key, net::address node);
    bool isOver() const;

    load_options m_options;
    history_writer &m_history;
    fakes::seeded_random m_random;
    balancer m_balancer;
    sender m_sender;
    boost::asio::io_context m_context{1};
    base::time_point m_end;
};

} // namespace chervilbend::load
