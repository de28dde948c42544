#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/node_settings.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::node
{

/// Reads the YAML file with a node's settings, and rereads the secrets in it.
class settings_file : public base::reason_holder
{
public:
    explicit settings_file(std::string path);

    /// Reads all settings; values in @p overrides, by name of the setting, take precedence. Returns no value if the settings are invalid;
    /// faults() then lists all errors.
    std::optional<config::node_settings> load(const std::map<std::string, std::string> &overrides);

    /// Like load(), but waits while the settings may still come: an invalid file that was written within the last second may still be written, and for a
    /// file that is missing it waits 10 s. Stops waiting when @p isStopRequested.
    std::optional<config::node_settings> loadWhenComplete(const std::map<std::string, std::string> &overrides, const std::function<bool()> &isStopRequested);

    /// Returns the secrets if they differ from those that were read last. To be called every few seconds. If it returns no value,
    /// lastReason() has an empty text if nothing has changed; otherwise it describes why the secrets in the file cannot be used, and the caller
    /// keeps using the previous ones.
    std::optional<std::vector<std::string>> rereadKeys();

    const std::vector<config::fault> &faults() const
    {
        return m_faults;
    }

private:
    std::optional<std::string> readText();
    /// Whether the file has been written within the last second.
    bool isRecent() const;
    bool isMissing() const;

    std::string m_path;
    std::string m_lastReadText;
    std::vector<std::string> m_keys;
    std::vector<config::fault> m_faults;
};

} // namespace chervilbend::node
