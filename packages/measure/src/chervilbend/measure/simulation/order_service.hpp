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

/// An order service and the network to it. An order that has been sent runs, whatever becomes of the node that sent it.
class order_service
{
public:
    order_service(std::uint64_t seed, order_history &history);

    /// Sends an order on behalf of an attempt: may fail before the first byte, or lose the answer.
    boost::asio::awaitable<control::order_answer> dispatch(std::string key, int attempt);

    /// Runs the orders that have come due.
    void settle();

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
