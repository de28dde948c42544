#pragma once

#include <map>
#include <string>

namespace chervilbend::node
{

/// Defines one gflags flag per setting, except the secrets, which would show in the list of processes. Call once, before the command line
/// is parsed.
void defineSettingFlags();

/// The settings that were given on the command line, by name.
std::map<std::string, std::string> givenSettingFlags();

} // namespace chervilbend::node
