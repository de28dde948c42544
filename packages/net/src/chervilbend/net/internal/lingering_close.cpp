#include <chervilbend/net/internal/lingering_close.hpp>

#include <chervilbend/net/connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <cstddef>
#include <tuple>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{
/// More than the longest body that is accepted by default.
constexpr std::size_t maxDiscardedBytes = 5 * 1024 * 1024;
} // namespace

asio::awaitable<void> lingeringClose(std::shared_ptr<connection> last, base::milliseconds duration)
{
    boost::system::error_code error;
    last->socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    last->expireAfter(duration);
    std::array<char, 4096> discarded;
    std::size_t total = 0;
    while (!error && total < maxDiscardedBytes) {
        std::size_t size = 0;
        std::tie(error, size) = co_await last->socket().async_read_some(asio::buffer(discarded), asio::as_tuple(asio::use_awaitable));
        total += size;
    }
}

} // namespace chervilbend::net
