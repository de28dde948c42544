#pragma once

#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/yaml_node.hpp>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// Builds the node tree of one document from parser events. Throws YAML::ParserException when a limit is exceeded, so that the parser stops
/// before it recurses further.
class yaml_tree_builder : public YAML::EventHandler
{
public:
    yaml_tree_builder(std::string file, std::vector<fault> &faults);

    yaml_node takeRoot()
    {
        return std::move(m_root);
    }

    void OnDocumentStart(const YAML::Mark &mark) override;
    void OnDocumentEnd() override;
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override;
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t anchor) override;
    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override;
    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value style) override;
    void OnSequenceEnd() override;
    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value style) override;
    void OnMapEnd() override;

private:
    /// A map or sequence whose end has not been read yet.
    struct level {
        yaml_node node;
        std::optional<yaml_key> pendingKey;
        std::string path;
    };

    void check(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor);
    void open(const YAML::Mark &mark, yaml_kind kind);
    void close();
    void add(yaml_node node);
    void addToMap(level &parent, yaml_node node);
    std::string nextPath() const;

    std::string m_file;
    std::vector<fault> &m_faults;
    yaml_node m_root;
    std::vector<level> m_levels;
    std::size_t m_values = 0;
};

} // namespace chervilbend::config
