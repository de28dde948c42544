#include <chervilbend/config/internal/yaml_tree_builder.hpp>

#include <yaml-cpp/exceptions.h>

namespace chervilbend::config
{

namespace
{
constexpr std::size_t maxDepth = 16;
constexpr std::size_t maxValues = 20'000;

int lineOf(const YAML::Mark &mark)
{
    return mark.line + 1;
}
} // namespace

yaml_tree_builder::yaml_tree_builder(std::string file, std::vector<fault> &faults)
    : m_file(std::move(file))
    , m_faults(faults)
{
}

void yaml_tree_builder::OnDocumentStart(const YAML::Mark &)
{
}

void yaml_tree_builder::OnDocumentEnd()
{
}

void yaml_tree_builder::OnNull(const YAML::Mark &mark, YAML::anchor_t anchor)
{
    check(mark, {}, anchor);
    yaml_node node;
    node.line = lineOf(mark);
    add(std::move(node));
}

void yaml_tree_builder::OnAlias(const YAML::Mark &mark, YAML::anchor_t)
{
    // Nested aliases can expand to a document of exponential size, so aliases are rejected altogether.
    throw YAML::ParserException(mark, "aliases are not supported, write the value out");
}

void yaml_tree_builder::OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value)
{
    check(mark, tag, anchor);
    yaml_node node;
    // The tag "?" marks a plain scalar, "!" a quoted one.
    const bool isNull = tag == "?" && (value.empty() || value == "~" || value == "null");
    node.kind = isNull ? yaml_kind::null : yaml_kind::scalar;
    node.text = value;
    node.line = lineOf(mark);
    add(std::move(node));
}

void yaml_tree_builder::OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value)
{
    check(mark, tag, anchor);
    open(mark, yaml_kind::sequence);
}

void yaml_tree_builder::OnSequenceEnd()
{
    close();
}

void yaml_tree_builder::OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value)
{
    check(mark, tag, anchor);
    open(mark, yaml_kind::map);
}

void yaml_tree_builder::OnMapEnd()
{
    close();
}

void yaml_tree_builder::check(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
{
    if (anchor != YAML::NullAnchor) {
        throw YAML::ParserException(mark, "anchors are not supported, write the value out");
    }
    if (!tag.empty() && tag != "?" && tag != "!") {
        throw YAML::ParserException(mark, "tags are not supported");
    }
    if (++m_values > maxValues) {
        throw YAML::ParserException(mark, "more than " + std::to_string(maxValues) + " values");
    }
}

void yaml_tree_builder::open(const YAML::Mark &mark, yaml_kind kind)
{
    if (m_levels.size() == maxDepth) {
        throw YAML::ParserException(mark, "nested deeper than " + std::to_string(maxDepth) + " levels");
    }
    if (!m_levels.empty() && m_levels.back().node.kind == yaml_kind::map && !m_levels.back().pendingKey) {
        throw YAML::ParserException(mark, "a key must be plain text");
    }
    level next;
    next.path = nextPath();
    next.node.kind = kind;
    next.node.line = lineOf(mark);
    m_levels.push_back(std::move(next));
}

void yaml_tree_builder::close()
{
    yaml_node node = std::move(m_levels.back().node);
    m_levels.pop_back();
    add(std::move(node));
}

void yaml_tree_builder::add(yaml_node node)
{
    if (m_levels.empty()) {
        m_root = std::move(node);
        return;
    }
    level &parent = m_levels.back();
    if (parent.node.kind == yaml_kind::map) {
        addToMap(parent, std::move(node));
    } else {
        parent.node.items.push_back(std::move(node));
    }
}

void yaml_tree_builder::addToMap(level &parent, yaml_node node)
{
    if (!parent.pendingKey) {
        parent.pendingKey = yaml_key{node.text, node.line};
        return;
    }
    const yaml_key key = std::move(*parent.pendingKey);
    parent.pendingKey.reset();
    for (const yaml_key &earlier : parent.node.keys) {
        if (earlier.name == key.name) {
            const std::string path = parent.path.empty() ? key.name : parent.path + '.' + key.name;
            m_faults.push_back({m_file, key.line, path, "duplicate key, first given in line " + std::to_string(earlier.line)});
            return;
        }
    }
    parent.node.keys.push_back(key);
    parent.node.items.push_back(std::move(node));
}

std::string yaml_tree_builder::nextPath() const
{
    if (m_levels.empty()) {
        return {};
    }
    const level &parent = m_levels.back();
    if (parent.node.kind == yaml_kind::sequence) {
        return parent.path + '[' + std::to_string(parent.node.items.size()) + ']';
    }
    const std::string key = parent.pendingKey ? parent.pendingKey->name : std::string();
    return parent.path.empty() ? key : parent.path + '.' + key;
}

} // namespace chervilbend::config
