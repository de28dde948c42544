#include <chervilbend/net/internal/message_framing.hpp>

namespace chervilbend::net
{

bool hasAmbiguousLength(const http::fields &fields)
{
    const std::size_t codings = fields.count(http::field::transfer_encoding);
    const std::size_t lengths = fields.count(http::field::content_length);
    if (codings + lengths > 1) {
        return true;
    }
    if (codings == 1 && !boost::beast::iequals(fields[http::field::transfer_encoding], "chunked")) {
        return true;
    }
    return fields[http::field::content_length].find(',') != boost::beast::string_view::npos;
}

} // namespace chervilbend::net
