#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_follower.hpp>
#include <chervilbend/control/order_gateway.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace chervilbend::control
{

/// An order gateway based on the log's `orders` stream: only the first claim of a key in the log may run.
class log_order_gateway : public order_gateway
{
public:
    struct options {
        base::node_id node;
        base::incarnation incarnation;
        /// How long a key is retained, up to 24 h.
        base::milliseconds keyLifetime{7'200'000};
        /// Whether an incarnation of a node has ended, from sources other than the log. May be empty.
        std::function<bool(const base::node_id &, base::incarnation)> hasEnded;
    };

    /// @p appender and @p follower must belong to the `orders` stream and outlive the io_context's run.
    log_order_gateway(boost::asio::any_io_executor executor, options settings, log_appender &appender, log_follower &follower);
    ~log_order_gateway() override;

    boost::asio::awaitable<order_answer> run(order_request order, dispatch_order dispatch) override;

    /// Number of outcomes that are not yet recorded in the log. A graceful shutdown must wait until it is 0.
    std::size_t unrecordedOutcomes() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilbend::control
