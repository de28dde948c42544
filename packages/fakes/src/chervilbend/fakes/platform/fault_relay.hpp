#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace chervilbend::fakes
{

/// What a relay does to the bytes of its connections.
struct link_state {
    /// Bytes in that direction wait until they are let through; nothing is lost, as on a link that retransmits.
    bool holdsRequests = false;
    bool holdsAnswers = false;
    base::milliseconds delay{0};
    bool refusesConnections = false;
};

/// A TCP relay on loopback between a caller and a server, whose link can fail in ways that neither of them sees.
class fault_relay
{
public:
    fault_relay(const boost::asio::any_io_executor &executor, std::uint16_t port, std::uint16_t target);

    /// Relays a connection that was accepted elsewhere.
    void take(boost::asio::ip::tcp::socket caller);

    void setState(const link_state &state)
    {
        m_state = state;
    }

    /// Makes the open connections silent: they stay open and carry nothing more.
    void silence();
    void resetConnections();

private:
    struct link;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<link> connected);
    boost::asio::awaitable<void> pump(std::shared_ptr<link> connected, bool isRequest);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_target;
    link_state m_state;
    std::list<std::weak_ptr<link>> m_links;
};

} // namespace chervilbend::fakes
