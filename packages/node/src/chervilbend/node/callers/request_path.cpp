#include <chervilbend/node/callers/request_path.hpp>

#include <cstddef>

namespace chervilbend::node
{

namespace
{

/// Whether the path contains "%2f", "%2e", "%5c" or "%00", in upper or lower case, or an incomplete escape sequence.
bool hasEncodedSeparator(std::string_view path)
{
    for (std::size_t i = path.find('%'); i != std::string_view::npos; i = path.find('%', i + 1)) {
        if (i + 2 >= path.size()) {
            return true;
        }
        const char high = path[i + 1];
        const char low = static_cast<char>(path[i + 2] | 0x20);
        if ((high == '2' && (low == 'f' || low == 'e')) || (high == '5' && low == 'c') || (high == '0' && path[i + 2] == '0')) {
            return true;
        }
    }
    return false;
}

} // namespace

bool isNormalizedPath(std::string_view path)
{
    if (path.empty() || path.front() != '/' || path.find('\\') != std::string_view::npos || hasEncodedSeparator(path)) {
        return false;
    }
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t slash = path.find('/', start);
        const std::string_view segment = path.substr(start, slash == std::string_view::npos ? std::string_view::npos : slash - start);
        const bool isLast = slash == std::string_view::npos;
        if (segment == "." || segment == ".." || (segment.empty() && !isLast)) {
            return false;
        }
        if (isLast) {
            break;
        }
        start = slash + 1;
    }
    return true;
}

} // namespace chervilbend::node
