#pragma once

#include <chervilbend/config/service_declaration.hpp>

#include <string>
#include <vector>

namespace chervilbend::config
{

/// Returns one line per difference: "+ model NAME: ...", "- route POST /path", "~ model NAME: copies 1 -> 2". Empty if the declarations are
/// equivalent; the order of models, adapters and routes is not significant.
std::vector<std::string> diffLines(const service_declaration &before, const service_declaration &after);

} // namespace chervilbend::config
