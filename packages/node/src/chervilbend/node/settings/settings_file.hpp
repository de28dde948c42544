#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/node_settings.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::node
{

/// The YAML file with a node's settings.
class settings_file : public base::reason_holder
{
public:
    explicit settings_file(std::string path);

    /// Reads all settings. Without a value, faults() has everything that is wrong.
    std::optional<config::node_settings> load(const std::map<std::string, std::string> &overrides);

    /// The secrets, when they differ from those that were read last. Call every few seconds. Without a value, lastReason() has an empty
    /// text when nothing has changed, otherwise it says why the file's secrets cannot be used; the old ones then stay in use.
    std::optional<std::vector<std::string>> rereadKeys();

    const std::vector<config::fault> &faults() const
    {
        return m_faults;
    }

private:
    std::optional<std::string> readText();

    std::string m_path;
    std::string m_lastText;
    std::vector<std::string> m_keys;
    std::vector<config::fault> m_faults;
};

} // namespace chervilbend::node
