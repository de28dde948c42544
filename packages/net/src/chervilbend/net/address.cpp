#include <chervilbend/net/address.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace chervilbend::net
{

std::optional<address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }

    std::uint16_t port = 0;
    const char *const end = portText.data() + portText.size();
    const auto [parsedEnd, error] = std::from_chars(portText.data(), end, port);
    if (error != std::errc{} || parsedEnd != end || port == 0) {
        return std::nullopt;
    }
    boost::system::error_code invalid;
    const boost::asio::ip::address parsedIp = boost::asio::ip::make_address(std::string(ip), invalid);
    if (invalid || parsedIp.is_v6() != bracketed) {
        return std::nullopt;
    }
    return address{std::string(ip), port};
}

std::string toString(const address &value)
{
    const bool isV6 = value.ip.find(':') != std::string::npos;
    return (isV6 ? '[' + value.ip + ']' : value.ip) + ':' + std::to_string(value.port);
}

} // namespace chervilbend::net
