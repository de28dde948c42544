#pragma once

#include <chervilbend/config/service_declaration.hpp>

#include <string>
#include <vector>

namespace chervilbend::config
{

/// What differs, one line a difference: "+ model NAME@VERSION: ...", "- route POST /path", "~ model NAME: copies 1 -> 2". Empty when the
/// declarations mean the same; the order of models, adapters and routes has no meaning.
std::vector<std::string> diffLines(const service_declaration &before, const service_declaration &after);

} // namespace chervilbend::config
