#pragma once

#include <chervilbend/base/reason.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/native_dialect.hpp>
#include <chervilbend/routing/request_outcome.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace chervilbend::net
{
class http_client;
class http_client_stream;
class http_exchange;
} // namespace chervilbend::net

namespace chervilbend::node
{

class admission;
class endpoint_directory;
class caller_metrics;
class passage;

/// Forwards requests that may be repeated to endpoints and passes the answers on.
///
/// Whole answers are read to their end before the first byte goes to the caller. Streams are passed on piece by piece; each piece waits
/// until the caller's socket took it. A stream that breaks off goes on at another endpoint where that is possible; otherwise its connection is
/// not ended cleanly, after an error event where the product's own interface is spoken.
class forwarder
{
public:
    forwarder(admission &gate, endpoint_directory &endpoints, net::http_client &client, caller_metrics &metrics);

    /// Told of endpoints that do not hold the item of a request.
    using missing_listener = std::function<void(const base::endpoint_id &endpoint, const fleet::wanted_item &item)>;
    void setMissingItemListener(missing_listener listener);

    boost::asio::awaitable<void> forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan);

private:
    /// How one attempt ended.
    struct attempt_result {
        routing::request_outcome outcome = routing::request_outcome::answered;
        /// Nothing more can be sent to the caller.
        bool settled = false;
        bool mayHaveRun = false;
        base::reason why;
    };

    boost::asio::awaitable<attempt_result> attempt(std::shared_ptr<passage> request, routing::dispatch where, bool isLast);
    boost::asio::awaitable<attempt_result> pass(std::shared_ptr<passage> request, routing::dispatch where, std::shared_ptr<net::http_client_stream> answer);
    boost::asio::awaitable<void> refuse(std::shared_ptr<passage> request, base::reason why, bool mayHaveRun);
    bool isSilent(const base::endpoint_id &endpoint, base::milliseconds patience) const;
    boost::asio::awaitable<attempt_result> passWhole(std::shared_ptr<passage> request, std::shared_ptr<net::http_client_stream> answer);
    /// @p beginning was read from the answer before.
    boost::asio::awaitable<attempt_result>
        passStream(std::shared_ptr<passage> request, std::shared_ptr<net::http_client_stream> answer, std::string beginning, bool needsDone);

    admission &m_admission;
    endpoint_directory &m_endpoints;
    net::http_client &m_client;
    caller_metrics &m_metrics;
    native_dialect m_native;
    missing_listener m_onMissing;
    /// When each endpoint last sent anything.
    std::unordered_map<base::endpoint_id, base::time_point> m_lastBytes;
};

} // namespace chervilbend::node
