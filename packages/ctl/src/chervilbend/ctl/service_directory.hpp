#pragma once

#include <chervilbend/config/service_set.hpp>

#include <string>

namespace chervilbend::ctl
{

/// Reads all service files ("*.chervilbend.yaml") below a directory, in the order of their paths. Hidden directories and symbolic links to
/// directories are not searched.
config::service_set readServiceDirectory(const std::string &directory);

} // namespace chervilbend::ctl
