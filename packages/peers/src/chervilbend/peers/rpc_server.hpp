#pragma once

#include <chervilbend/membership/message_signer.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/peers/rpc_method.hpp>

#include <cstdint>
#include <memory>

namespace chervilbend::peers
{

class rpc_dispatcher;
class rpc_transport;

/// Serves JSON-RPC 2.0 over HTTP to other nodes and to operators. Messages without a valid signature are refused with 401.
class rpc_server : public net::http_handler
{
public:
    explicit rpc_server(std::shared_ptr<membership::message_signer> signer);
    ~rpc_server() override;

    /// Commands.

    /// Registers a method; a second one of the same name has no effect.
    void add(std::shared_ptr<rpc_method> method);

    /// Like add(), for a method whose prepare() may suspend.
    void addSuspending(std::shared_ptr<rpc_method> method);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;

    /// Queries.

    /// Number of messages without a valid signature since the start.
    std::uint64_t refusedMessages() const
    {
        return m_refusedMessages;
    }

private:
    boost::asio::awaitable<void> prepare(const std::string &body);

    std::shared_ptr<membership::message_signer> m_signer;
    std::unique_ptr<rpc_transport> m_transport;
    std::unique_ptr<rpc_dispatcher> m_dispatcher;
    bool m_hasSuspending = false;
    std::uint64_t m_refusedMessages = 0;
};

} // namespace chervilbend::peers
