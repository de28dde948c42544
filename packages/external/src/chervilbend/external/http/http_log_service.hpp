#pragma once

#include <chervilbend/external/http/internal/json_client.hpp>
#include <chervilbend/external/log_service.hpp>
#include <chervilbend/net/address.hpp>

#include <string>

namespace chervilbend::external
{

/// One stream of the platform's log over HTTP. docs/wire.md describes the wire format.
class http_log_service : public log_service
{
public:
    /// @p stream is part of the path: letters, digits, '-' and '_' only. @p client must outlive this object.
    http_log_service(net::http_client &client, net::address address, const std::string &stream, http_adapter_options options = {});

    boost::asio::awaitable<append_result> append(std::string payload) override;
    boost::asio::awaitable<std::optional<log_page>> read(base::log_offset after, base::milliseconds wait) override;

private:
    json_client m_client;
    net::address m_address;
    std::string m_target;
};

} // namespace chervilbend::external
