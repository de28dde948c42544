#pragma once

#include <chervilbend/config/node_setting.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::config
{

/// All settings, in the order in which they are printed.
const std::vector<node_setting> &nodeSettingTable();

/// Returns one line per setting with its name, value, unit, range, default and help, for --print-settings. Secrets are not included.
std::string printSettings(const node_settings &settings);

/// Returns the contents of docs/settings.md in Markdown.
std::string settingsPage();

} // namespace chervilbend::config
