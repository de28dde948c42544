#include <chervilbend/ctl/signed_node_client.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/ctl/internal/json_rpc_call.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/peers/rpc_headers.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <utility>

namespace chervilbend::ctl
{

namespace
{

struct exchange_result {
    std::optional<net::http_response> response;
    base::reason error;
};

boost::asio::awaitable<void> send(net::address node, net::http_request request, base::milliseconds timeout, exchange_result &result)
{
    net::http_client client;
    net::http_send_options options;
    options.connectTimeout = timeout;
    options.answerTimeout = timeout;
    options.freshConnection = true;
    result.response = co_await client.send(node, std::move(request), options);
    if (!result.response) {
        result.error = client.lastReason();
    }
    client.closeIdleConnections();
}

base::error_kind errorKindNamed(const std::string &name)
{
    for (const base::error_answer &row : base::errorAnswers()) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return base::error_kind::internal;
}

} // namespace

signed_node_client::signed_node_client(membership::signing_keys keys)
    : m_signer(std::move(keys))
{
}

std::optional<Json::Value>
    signed_node_client::call(const net::address &node, const std::string &method, const Json::Value &parameters, base::milliseconds timeout)
{
    const json_rpc_transport transport = [&](const std::string &message, std::string &answer) {
        return exchange(node, message, timeout, answer);
    };
    json_rpc_answer answer = callJsonRpc(transport, method, parameters);
    if (answer.hasResult) {
        return std::move(answer.result);
    }
    if (answer.error.empty() && answer.kind.empty()) {
        // exchange() has set the last reason.
        return std::nullopt;
    }
    return fail(answer.kind.empty() ? base::error_kind::peerUnavailable : errorKindNamed(answer.kind), answer.error);
}

bool signed_node_client::exchange(const net::address &node, const std::string &message, base::milliseconds timeout, std::string &answer)
{
    net::http_request request(net::http::verb::post, "/rpc", 11);
    request.set(net::http::field::host, toString(node));
    request.set(net::http::field::content_type, "application/json");
    request.body() = message;
    const std::string signature = m_signer.sign(message);
    request.set(peers::signatureHeader, signature);

    boost::asio::io_context context;
    exchange_result result;
    boost::asio::co_spawn(context, send(node, std::move(request), timeout, result), boost::asio::detached);
    context.run();

    const std::string name = toString(node);
    if (!result.response) {
        const bool isRefused = result.error.kind == base::error_kind::endpointRefused;
        fail(isRefused ? base::error_kind::endpointRefused : base::error_kind::peerUnavailable, name + " did not answer: " + result.error.text);
        return false;
    }
    if (result.response->result() == net::http::status::unauthorized) {
        fail(base::error_kind::unauthorized, name + " rejected the key, or the clock of this host is wrong");
        return false;
    }
    if (result.response->result() != net::http::status::ok) {
        fail(base::error_kind::peerUnavailable, name + " answered with HTTP status " + std::to_string(result.response->result_int()));
        return false;
    }
    if (!m_signer.verify((*result.response)[peers::signatureHeader], result.response->body(), signature)) {
        fail(base::error_kind::peerUnavailable, "the answer of " + name + " is not signed with the key");
        return false;
    }
    answer = std::move(result.response->body());
    return true;
}

} // namespace chervilbend::ctl
