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
    /// @p overrides are values from the command line, by name; they take precedence. Without a value, faults() has everything that is
    /// wrong, and lastReason() the first of it.
    std::optional<node_settings> read(const std::string &file, const std::string &text, const std::map<std::string, std::string> &overrides = {});

    /// Only the secrets, for a node that runs and finds its file changed. Other changes in the file are ignored until the next start.
    std::optional<std::vector<std::string>> readKeys(const std::string &file, const std::string &text);

    const std::vector<fault> &faults() const
    {
        return m_faults;
    }

private:
    void setAll(const std::string &file, const std::string &text, node_settings &settings, std::map<std::string, int> &lines);
    void checkConsistency(const std::string &file, const node_settings &settings, const std::map<std::string, int> &lines);

    std::vector<fault> m_faults;
};

} // namespace chervilbend::config
