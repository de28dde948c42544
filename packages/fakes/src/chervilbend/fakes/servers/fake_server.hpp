#pragma once

#include <chervilbend/fakes/servers/fault_panel.hpp>
#include <chervilbend/fakes/servers/request_target.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <string>

namespace chervilbend::fakes
{

/// A fake that answers over HTTP. Serves /control itself; the rest is for the role.
class fake_server : public net::http_handler
{
public:
    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) final;

protected:
    /// Answers one request. Returning without an answer closes the connection, as a lost answer does.
    virtual boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) = 0;

    static boost::asio::awaitable<void> respond(std::shared_ptr<net::http_exchange> exchange, net::http::status status, boost::json::object body);
    /// Answers with a text "detail".
    static boost::asio::awaitable<void> refuse(std::shared_ptr<net::http_exchange> exchange, net::http::status status, std::string detail);
    /// The request's body, if it is a JSON object.
    static std::optional<boost::json::object> bodyOf(const net::http_request &request);

    fault_panel m_panel;

private:
    boost::asio::awaitable<void> serveControl(std::shared_ptr<net::http_exchange> exchange);
};

} // namespace chervilbend::fakes
