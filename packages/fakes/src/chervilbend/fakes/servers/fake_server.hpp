#pragma once

#include <chervilbend/fakes/servers/fault_registry.hpp>
#include <chervilbend/fakes/servers/request_target.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <string>

namespace chervilbend::fakes
{

/// Base class of the fakes that are served over HTTP. Handles /control; derived classes serve all other paths.
class fake_server : public net::http_handler
{
public:
    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) final;

protected:
    /// Handles one request. Returning without a response closes the connection, which simulates a lost response.
    virtual boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) = 0;

    static boost::asio::awaitable<void> respond(std::shared_ptr<net::http_exchange> exchange, net::http::status status, boost::json::object body);
    /// Responds with a JSON object that contains the string "detail".
    static boost::asio::awaitable<void> respondError(std::shared_ptr<net::http_exchange> exchange, net::http::status status, std::string detail);
    /// The request body; no value when it is not a JSON object.
    static std::optional<boost::json::object> parseBody(const net::http_request &request);

    fault_registry m_faultRegistry;

private:
    boost::asio::awaitable<void> serveControl(std::shared_ptr<net::http_exchange> exchange);
};

} // namespace chervilbend::fakes
