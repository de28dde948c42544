#include <chervilbend/net/internal/request_target.hpp>

#include <string>
#include <string_view>

namespace chervilbend::net
{

void useOriginForm(http_request &request)
{
    const std::string target(request.target());
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (!boost::beast::iequals(boost::beast::string_view(target).substr(0, scheme.size()), boost::beast::string_view(scheme.data(), scheme.size()))) {
            continue;
        }
        const std::string_view rest = std::string_view(target).substr(scheme.size());
        const std::string_view authority = rest.substr(0, rest.find_first_of("/?"));
        if (authority.empty()) {
            return;
        }
        std::string path(rest.substr(authority.size()));
        if (!path.starts_with('/')) {
            path.insert(path.begin(), '/');
        }
        request.set(http::field::host, boost::beast::string_view(authority.data(), authority.size()));
        request.target(path);
        return;
    }
}

} // namespace chervilbend::net
