#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::config
{

struct node_settings;

/// One row of the table of settings.
struct node_setting {
    std::string name;
    /// What a value is, with its unit.
    std::string unit;
    std::string range;
    /// Empty when the setting is required.
    std::string defaultText;
    /// One line.
    std::string help;
    /// Sets the value from text; gives what is wrong with it, or an empty text.
    std::function<std::string(node_settings &settings, std::string_view text)> set;
    /// The value as text.
    std::function<std::string(const node_settings &settings)> show;
};

} // namespace chervilbend::config
