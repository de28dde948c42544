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

/// Acts as many callers for a while. Random choices follow from the seed, times do not.
class load_run
{
public:
    load_run(load_options options, history_writer &history);

    /// Returns when the last caller has ended.
    void run();

private:
    boost::asio::awaitable<void> completions(std::string kind, int caller);
    boost::asio::awaitable<void> orders(int caller);
    /// Sends until a whole answer has come or the caller's patience is over.
    boost::asio::awaitable<void> completeOne(std::string kind, std::string request, std::string model);
    boost::asio::awaitable<void> orderOne(std::string key);
    boost::asio::awaitable<attempt> sendOrder(std::string key, std::string request, int number, net::address node, bool isFirst);
    boost::asio::awaitable<void> sendOrderTwin(std::string key, net::address node);
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
