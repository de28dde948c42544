#pragma once

#include <map>
#include <string>

namespace chervilbend::node
{

/// Defines one gflags flag per setting, except for the secrets, which would be visible in the process list. To be called once, before the
/// command line is parsed.
void defineSettingFlags();

/// Returns the values of the settings that were given on the command line, by name.
std::map<std::string, std::string> givenSettingFlags();

} // namespace chervilbend::node
