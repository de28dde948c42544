#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/control/order_answer.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/measure/simulation/order_history.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>

namespace chervilbend::measure
{

/// An order service and the network to it. An order that has been sent is executed even if the node that sent it ends.
class order_service
{
public:
    order_service(std::uint64_t seed, order_history &history);

    /// Sends an order on behalf of an attempt. The connection may be refused, or the answer may be lost.
    boost::asio::awaitable<control::order_answer> dispatch(std::string key, int attempt);

    /// Executes the orders that are due.
    void runDueOrders();

private:
    struct pending_order {
        std::string key;
        int attempt = 0;
    };

    fakes::seeded_random m_random;
    order_history &m_history;
    std::multimap<base::time_point, pending_order> m_pending;
};

} // namespace chervilbend::measure
