#include <chervilbend/net/descriptor_limit.hpp>

#include <sys/resource.h>

#include <algorithm>

namespace chervilbend::net
{

namespace
{
/// Part of the descriptors that callers may take.
constexpr double callersShare = 0.75;
} // namespace

std::size_t callerConnectionLimit(std::size_t configured)
{
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY) {
        return configured;
    }
    const auto callers = static_cast<std::size_t>(static_cast<double>(descriptors.rlim_cur) * callersShare);
    return std::clamp<std::size_t>(callers, 1, configured);
}

} // namespace chervilbend::net
