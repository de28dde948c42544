#include <chervilbend/config/internal/map_reader.hpp>

#include <chervilbend/config/nearest_name.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/config/work_class_name.hpp>

#include <algorithm>
#include <charconv>

namespace chervilbend::config
{

namespace
{

std::string joinPath(const std::string &path, const std::string &key)
{
    return path.empty() ? key : path + '.' + key;
}

} // namespace

map_reader::map_reader(const yaml_node &node, std::string path, std::string mergedPath, map_reader_output output)
    : m_node(&node)
    , m_path(std::move(path))
    , m_mergedPath(std::move(mergedPath))
    , m_output(std::move(output))
{
    m_output.locations[m_mergedPath] = location();
}

void map_reader::text(const std::string &key, std::string &target, bool required)
{
    if (const std::string *value = takeScalar(key, required, "text")) {
        target = *value;
    }
}

void map_reader::integer(const std::string &key, int &target)
{
    const std::string *value = takeScalar(key, false, "a whole number");
    if (!value) {
        return;
    }
    int number = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    if (error != std::errc{} || end != value->data() + value->size()) {
        addFault(lineOf(key), pathOf(key), '"' + *value + "\" is not a whole number");
        return;
    }
    target = number;
}

void map_reader::flag(const std::string &key, bool &target)
{
    const std::string *value = takeScalar(key, false, "true or false");
    if (!value) {
        return;
    }
    if (*value != "true" && *value != "false") {
        addFault(lineOf(key), pathOf(key), '"' + *value + "\" is neither true nor false");
        return;
    }
    target = *value == "true";
}

void map_reader::bytes(const std::string &key, base::byte_count &target, bool required)
{
    const std::string *value = takeScalar(key, required, "a size such as 14 GiB");
    if (!value) {
        return;
    }
    if (const auto bytes = parseBytes(*value)) {
        target = *bytes;
    } else {
        addFault(lineOf(key), pathOf(key), '"' + *value + "\" is not a size with a unit, such as 14 GiB or 300 MB");
    }
}

void map_reader::duration(const std::string &key, base::milliseconds &target)
{
    const std::string *value = takeScalar(key, false, "a time such as 30 s");
    if (!value) {
        return;
    }
    if (const auto duration = parseDuration(*value)) {
        target = *duration;
    } else {
        addFault(lineOf(key), pathOf(key), '"' + *value + "\" is not a time with a unit, such as 30 s or 250 ms");
    }
}

void map_reader::urgency(const std::string &key, base::work_class &target)
{
    const std::string *value = takeScalar(key, false, "urgent, normal or batch");
    if (!value) {
        return;
    }
    if (const auto urgency = parseWorkClass(*value)) {
        target = *urgency;
    } else {
        addFault(lineOf(key), pathOf(key), '"' + *value + "\" is none of urgent, normal, batch");
    }
}

std::vector<map_reader> map_reader::maps(const std::string &key, std::size_t firstIndex)
{
    std::vector<map_reader> readers;
    const yaml_node *list = take(key, false);
    if (!list) {
        return readers;
    }
    if (list->kind != yaml_kind::sequence) {
        addFault(lineOf(key), pathOf(key), "is not a list");
        return readers;
    }
    for (std::size_t i = 0; i < list->items.size(); ++i) {
        const std::string path = pathOf(key) + '[' + std::to_string(i) + ']';
        if (list->items[i].kind != yaml_kind::map) {
            addFault(list->items[i].line, path, "is not a map of keys and values");
            continue;
        }
        readers.emplace_back(list->items[i], path, mergedPathOf(key) + '[' + std::to_string(firstIndex + readers.size()) + ']', m_output);
    }
    return readers;
}

std::vector<map_reader> map_reader::map(const std::string &key)
{
    std::vector<map_reader> readers;
    const yaml_node *node = take(key, false);
    if (node && node->kind != yaml_kind::map) {
        addFault(lineOf(key), pathOf(key), "is not a map of keys and values");
    } else if (node) {
        readers.emplace_back(*node, pathOf(key), mergedPathOf(key), m_output);
    }
    return readers;
}

void map_reader::finish()
{
    for (const yaml_key &key : m_node->keys) {
        if (std::ranges::find(m_known, key.name) == m_known.end()) {
            addFault(key.line, pathOf(key.name), unknownKeyText(key.name, m_known));
        }
    }
}

void map_reader::addFault(int line, const std::string &key, const std::string &text)
{
    m_output.faults.push_back({m_output.file, line, key, text});
}

source_location map_reader::location() const
{
    return {m_output.file, m_node->line, m_path};
}

int map_reader::lineOf(const std::string &key) const
{
    const auto found = std::ranges::find(m_node->keys, key, &yaml_key::name);
    return found == m_node->keys.end() ? m_node->line : found->line;
}

const yaml_node *map_reader::take(const std::string &key, bool required)
{
    m_known.push_back(key);
    const yaml_node *value = m_node->find(key);
    if (!value) {
        if (required) {
            addFault(m_node->line, pathOf(key), "is missing");
        }
        return nullptr;
    }
    m_output.locations[mergedPathOf(key)] = {m_output.file, lineOf(key), pathOf(key)};
    if (value->kind == yaml_kind::null) {
        addFault(lineOf(key), pathOf(key), "has no value");
        return nullptr;
    }
    return value;
}

const std::string *map_reader::takeScalar(const std::string &key, bool required, std::string_view expected)
{
    const yaml_node *value = take(key, required);
    if (value && value->kind != yaml_kind::scalar) {
        addFault(lineOf(key), pathOf(key), "is not " + std::string(expected));
        return nullptr;
    }
    return value ? &value->text : nullptr;
}

std::string map_reader::pathOf(const std::string &key) const
{
    return joinPath(m_path, key);
}

std::string map_reader::mergedPathOf(const std::string &key) const
{
    return joinPath(m_mergedPath, key);
}

} // namespace chervilbend::config
