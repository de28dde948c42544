#pragma once

#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/yaml_node.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// Parses one YAML document within limits: at most 256 KiB, 16 levels and 20,000 values; no anchors or aliases, no tags, no duplicate
/// keys.
class yaml_reader
{
public:
    /// @p file is the file name for faults.
    explicit yaml_reader(std::string file)
        : m_file(std::move(file))
    {
    }

    /// No value if the text is not valid YAML or exceeds a limit. A duplicate key only adds a fault; its first value is kept.
    std::optional<yaml_node> read(const std::string &text);

    const std::vector<fault> &faults() const
    {
        return m_faults;
    }

private:
    std::string m_file;
    std::vector<fault> m_faults;
};

} // namespace chervilbend::config
