#pragma once

#include <chervilbend/membership/message_signer.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/peers/rpc_caller.hpp>

#include <memory>
#include <string_view>

namespace chervilbend::peers
{

/// Calls other nodes by JSON-RPC 2.0 over HTTP. Requests are signed, and an answer is accepted only with a signature for exactly this request.
class rpc_client : public rpc_caller
{
public:
    rpc_client(std::shared_ptr<membership::message_signer> signer, std::shared_ptr<net::http_client> transport);

    boost::asio::awaitable<std::optional<Json::Value>> call(net::address peer, std::string method, Json::Value parameters, base::milliseconds timeout) override;

private:
    std::optional<Json::Value> readAnswer(const std::string &body);

    std::shared_ptr<membership::message_signer> m_signer;
    std::shared_ptr<net::http_client> m_transport;
    int m_lastId = 0;
};

} // namespace chervilbend::peers
