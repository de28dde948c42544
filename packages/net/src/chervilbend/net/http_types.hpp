#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace chervilbend::net
{

namespace http = boost::beast::http;

/// A request whose body has been read as a whole.
using http_request = http::request<http::string_body>;
/// A response whose body is held as a whole.
using http_response = http::response<http::string_body>;

} // namespace chervilbend::net
