#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace chervilbend::net
{

class http_exchange;

/// Answers the requests of a server.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// Answers one request. Cancelled when the caller closes its connection; work that must outlive the connection has to be spawned as a separate task.
    virtual boost::asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange) = 0;
};

} // namespace chervilbend::net
