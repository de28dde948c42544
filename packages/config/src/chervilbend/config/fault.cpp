#include <chervilbend/config/fault.hpp>

namespace chervilbend::config
{

std::string toString(const fault &problem)
{
    std::string line = problem.file;
    if (problem.line > 0) {
        line += ':' + std::to_string(problem.line);
    }
    line += ": ";
    if (!problem.key.empty()) {
        line += problem.key + ": ";
    }
    return line + problem.text;
}

} // namespace chervilbend::config
