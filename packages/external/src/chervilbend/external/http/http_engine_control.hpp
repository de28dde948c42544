#pragma once

#include <chervilbend/external/engine_control.hpp>
#include <chervilbend/external/http/internal/json_client.hpp>

namespace chervilbend::external
{

/// Sends commands to engines and reads their reports over HTTP. docs/wire.md describes the wire format.
class http_engine_control : public engine_control
{
public:
    /// @p client must outlive this object.
    explicit http_engine_control(net::http_client &client, http_adapter_options options = {});

    boost::asio::awaitable<command_status> send(net::address engine, engine_command command) override;
    boost::asio::awaitable<std::optional<engine_report>> report(net::address engine) override;

private:
    json_client m_client;
};

} // namespace chervilbend::external
