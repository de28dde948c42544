#pragma once

#include <chervilbend/config/declaration_fault.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <span>
#include <vector>

namespace chervilbend::config
{

/// Finds all violations of the rules within one declaration: names, ranges, duplicates, routes. docs/service-files.md lists the rules.
std::vector<declaration_fault> checkDeclaration(const service_declaration &declaration);

/// Finds conflicts between declarations: a model name or a route that two services declare.
std::vector<declaration_fault> checkConflicts(std::span<const service_declaration> declarations);

} // namespace chervilbend::config
