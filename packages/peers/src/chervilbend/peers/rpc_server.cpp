#include <chervilbend/peers/rpc_server.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/problem.hpp>
#include <chervilbend/peers/internal/rpc_dispatcher.hpp>
#include <chervilbend/peers/internal/rpc_transport.hpp>
#include <chervilbend/peers/rpc_headers.hpp>

#include <json/reader.h>

#include <string>
#include <utility>

namespace chervilbend::peers
{

rpc_server::rpc_server(std::shared_ptr<membership::message_signer> signer)
    : m_signer(std::move(signer))
    , m_transport(std::make_unique<rpc_transport>())
    , m_dispatcher(std::make_unique<rpc_dispatcher>(*m_transport))
{
}

rpc_server::~rpc_server() = default;

void rpc_server::add(std::shared_ptr<rpc_method> method)
{
    m_dispatcher->add(std::move(method));
}

void rpc_server::addSuspending(std::shared_ptr<rpc_method> method)
{
    m_hasSuspending = true;
    add(std::move(method));
}

boost::asio::awaitable<void> rpc_server::prepare(const std::string &body)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value message;
    if (!reader->parse(body.data(), body.data() + body.size(), &message, nullptr) || !message.isObject() || !message["method"].isString()) {
        // The dispatcher answers malformed messages with an error.
        co_return;
    }
    const std::shared_ptr<rpc_method> method = m_dispatcher->find(message["method"].asString());
    if (method) {
        co_await method->prepare(message["params"]);
    }
}

boost::asio::awaitable<void> rpc_server::handle(std::shared_ptr<net::http_exchange> exchange)
{
    const net::http_request &request = exchange->request();
    if (request.method() != net::http::verb::post) {
        co_await exchange->respond(net::problemResponse({base::error_kind::badRequest, "calls must be sent by POST"}));
        co_return;
    }
    const std::string signature(request[signatureHeader]);
    if (!m_signer->verify(signature, request.body())) {
        ++m_refusedMessages;
        LOG4CXX_WARN(base::partLogger("peer"), "Refused a message of " << exchange->remoteAddress() << ": " << m_signer->lastReason().text << '.');
        co_await exchange->respond(net::problemResponse(m_signer->lastReason()));
        co_return;
    }
    if (m_hasSuspending) {
        co_await prepare(request.body());
    }
    net::http_response response(net::http::status::ok, 11);
    response.set(net::http::field::content_type, "application/json");
    m_transport->OnRequest(request.body(), &response.body());
    response.set(signatureHeader, m_signer->sign(response.body(), signature));
    co_await exchange->respond(std::move(response));
}

} // namespace chervilbend::peers
