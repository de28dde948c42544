#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/external/http/http_adapter_options.hpp>
#include <chervilbend/external/http/internal/json_answer.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace chervilbend::net
{
class http_client;
class http_client_stream;
} // namespace chervilbend::net

namespace chervilbend::external
{

/// Sends requests and reads answers that are JSON objects, within the adapter's limits on time and size.
class json_client : public base::reason_holder
{
public:
    /// @p client must outlive this object.
    json_client(net::http_client &client, http_adapter_options options);

    /// Sends a GET request. Without a value, the last reason has the kind endpointRefused when nothing was sent, endpointFailed when the connection failed or
    /// timed out, or endpointInvalidAnswer. @p wait is how long the service may hold the request.
    boost::asio::awaitable<std::optional<json_answer>> get(net::address address, std::string target, base::milliseconds wait = base::milliseconds(0));

    /// Sends a POST request with @p body on a new connection, so that endpointRefused is reliable: a pooled connection may turn out to be closed only after the
    /// request was written. Without a value, the reasons are those of get(). An answer with a status other than 200 needs no JSON body.
    boost::asio::awaitable<std::optional<json_answer>> post(net::address address, std::string target, std::string body);

private:
    boost::asio::awaitable<std::optional<json_answer>> exchange(net::address address, net::http_request request, base::milliseconds wait, bool freshConnection);
    std::optional<json_answer> parse(int status, const std::string &body);

    net::http_client &m_client;
    http_adapter_options m_options;
};

} // namespace chervilbend::external
