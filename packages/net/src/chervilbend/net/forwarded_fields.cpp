#include <chervilbend/net/forwarded_fields.hpp>

#include <boost/beast/http/rfc7230.hpp>

namespace chervilbend::net
{

namespace
{

/// Hop-by-hop fields (RFC 9110, section 7.6.1), and those that the HTTP client or server sets itself.
bool isNotForwarded(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::proxy_connection:
    case http::field::keep_alive:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::host:
    case http::field::content_length:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
        return true;
    default:
        return false;
    }
}

} // namespace

void copyForwardedFields(const http::fields &from, http::fields &to)
{
    const auto connection = from.find(http::field::connection);
    const bool listsOtherFields =
        connection != from.end() && !boost::beast::iequals(connection->value(), "close") && !boost::beast::iequals(connection->value(), "keep-alive");
    for (const auto &field : from) {
        if (isNotForwarded(field.name())) {
            continue;
        }
        if (listsOtherFields && http::token_list(connection->value()).exists(field.name_string())) {
            continue;
        }
        to.insert(field.name(), field.name_string(), field.value());
    }
}

} // namespace chervilbend::net
