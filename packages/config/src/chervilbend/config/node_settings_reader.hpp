#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/node_settings.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// Reads a node's settings from the text of its YAML file.
class node_settings_reader : public base::reason_holder
{
public:
    /// @p overrides are values from the command line, by name; they take precedence. If no value is returned, faults()
    /// has all faults, and lastReason() the first of them.
    std::optional<node_settings> read(const std::string &file, const std::string &text, const std::map<std::string, std::string> &overrides = {});

    /// Reads only the secrets, for a running node whose settings file has changed. Other changes in the file take effect at the next start.
    std::optional<std::vector<std::string>> readKeys(const std::string &file, const std::string &text);

    const std::vector<fault> &faults() const
    {
        return m_faults;
    }

private:
    void applyFile(const std::string &file, const std::string &text, node_settings &settings, std::map<std::string, int> &lines);
    void checkConsistency(const std::string &file, const node_settings &settings, const std::map<std::string, int> &lines);

    std::vector<fault> m_faults;
};

} // namespace chervilbend::config
