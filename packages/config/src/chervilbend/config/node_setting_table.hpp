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

/// One line a setting with name, value, unit, range, default and help, for --print-settings. Secrets are not printed.
std::string printSettings(const node_settings &settings);

/// The page docs/settings.md.
std::string settingsPage();

} // namespace chervilbend::config
