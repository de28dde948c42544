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

/// The order gateway on the log's `orders` stream: the first claim of a key in the log is the one that may run.
class log_order_gateway : public order_gateway
{
public:
    struct options {
        base::node_id node;
        base::incarnation incarnation;
        /// How long a key is remembered, up to 24 h.
        base::milliseconds keyLifetime{7'200'000};
        /// Whether that life of a node has ended, from what the node knows beside the log. Empty for not known.
        std::function<bool(const base::node_id &, base::incarnation)> hasEnded;
    };

    /// @p appender and @p follower are those of the `orders` stream and must outlive the io_context's run.
    log_order_gateway(boost::asio::any_io_executor executor, options settings, log_appender &appender, log_follower &follower);
    ~log_order_gateway() override;

    boost::asio::awaitable<order_answer> run(order_request order, dispatch_order dispatch) override;

    /// Outcomes that are not yet in the log; a planned stop waits for them.
    std::size_t openOutcomes() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilbend::control
