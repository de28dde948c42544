#include <chervilbend/base/process_memory.hpp>

#include <unistd.h>

#include <fstream>

namespace chervilbend::base
{

std::optional<std::size_t> residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    if (!(statm >> totalPages >> residentPages)) {
        return std::nullopt;
    }
    return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace chervilbend::base
