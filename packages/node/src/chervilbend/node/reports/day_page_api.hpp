#pragma once

#include <chervilbend/net/http_handler.hpp>

#include <memory>

namespace chervilbend::node
{

class recent_days;

/// Answers `GET /day` with today's page and passes all other requests to the next handler.
class day_page_api : public net::http_handler
{
public:
    /// Both must outlive the server that uses this handler.
    day_page_api(const recent_days &days, net::http_handler &next);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;

private:
    const recent_days &m_days;
    net::http_handler &m_next;
};

} // namespace chervilbend::node
