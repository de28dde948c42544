#include <chervilbend/measure/proxy/echo_endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::measure
{

namespace
{

/// One connection. Uses plain callbacks and no HTTP library, to keep its own cost low.
class echo_session : public std::enable_shared_from_this<echo_session>
{
public:
    explicit echo_session(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (!error) {
                self->m_request.append(self->m_buffer.data(), size);
                self->answer();
            }
        });
    }

private:
    void answer()
    {
        const std::size_t headEnd = m_request.find("\r\n\r\n");
        const std::size_t lengthField = m_request.find("Content-Length: ");
        if (headEnd == std::string::npos || lengthField > headEnd) {
            read();
            return;
        }
        const std::size_t length = std::strtoul(m_request.c_str() + lengthField + 16, nullptr, 10);
        if (m_request.size() < headEnd + 4 + length) {
            read();
            return;
        }
        const std::string body = m_request.substr(headEnd + 4, length);
        m_request.erase(0, headEnd + 4 + length);
        if (body.find("\"stream\":true") != std::string::npos) {
            m_answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n11\r\ndata: {\"n\":\"x\"}\n\n\r\n";
        } else {
            m_answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
        }
        asio::async_write(m_socket, asio::buffer(m_answer), [self = shared_from_this()](boost::system::error_code error, std::size_t /*size*/) {
            if (!error) {
                self->read();
            }
        });
    }

    asio::ip::tcp::socket m_socket;
    std::array<char, 1024> m_buffer;
    std::string m_request;
    std::string m_answer;
};

} // namespace

struct echo_endpoint::implementation {
    implementation()
        : acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
        thread = std::thread([this] { context.run(); });
    }

    ~implementation()
    {
        context.stop();
        thread.join();
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (!error) {
                socket.set_option(asio::ip::tcp::no_delay(true), error);
                std::make_shared<echo_session>(std::move(socket))->read();
            }
            accept();
        });
    }

    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

echo_endpoint::echo_endpoint()
    : m_implementation(std::make_unique<implementation>())
{
}

echo_endpoint::~echo_endpoint() = default;

std::uint16_t echo_endpoint::port() const
{
    return m_implementation->acceptor.local_endpoint().port();
}

} // namespace chervilbend::measure
