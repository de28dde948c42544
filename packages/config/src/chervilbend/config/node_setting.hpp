#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::config
{

struct node_settings;

/// One entry in the table of settings.
struct node_setting {
    std::string name;
    /// Kind or unit of the value.
    std::string unit;
    std::string range;
    /// The default value as text; empty if the setting is required.
    std::string defaultText;
    /// Description in one line.
    std::string help;
    /// Sets the value from text. Returns a description of the error, or an empty string on success.
    std::function<std::string(node_settings &settings, std::string_view text)> set;
    /// The value as text.
    std::function<std::string(const node_settings &settings)> show;
};

} // namespace chervilbend::config
