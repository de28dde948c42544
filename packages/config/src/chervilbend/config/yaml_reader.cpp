#include <chervilbend/config/yaml_reader.hpp>

#include <chervilbend/config/internal/yaml_tree_builder.hpp>

#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <cstddef>
#include <sstream>

namespace chervilbend::config
{

namespace
{
constexpr std::size_t maxBytes = 256 * 1024;
} // namespace

std::optional<yaml_node> yaml_reader::read(const std::string &text)
{
    if (text.size() > maxBytes) {
        m_faults.push_back({m_file, 0, {}, "larger than 256 KiB"});
        return std::nullopt;
    }
    // The parser treats a NUL byte as the end of its input and would ignore what follows.
    if (text.find('\0') != std::string::npos) {
        m_faults.push_back({m_file, 0, {}, "contains a NUL byte"});
        return std::nullopt;
    }
    std::istringstream stream(text);
    yaml_tree_builder builder(m_file, m_faults);
    try {
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder)) {
            m_faults.push_back({m_file, 0, {}, "is empty"});
            return std::nullopt;
        }
        yaml_node root = builder.takeRoot();
        if (parser.HandleNextDocument(builder)) {
            m_faults.push_back({m_file, 0, {}, "holds more than one YAML document"});
            return std::nullopt;
        }
        return root;
    } catch (const YAML::Exception &error) {
        m_faults.push_back({m_file, error.mark.is_null() ? 0 : error.mark.line + 1, {}, error.msg});
        return std::nullopt;
    }
}

} // namespace chervilbend::config
