#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/base/work_class.hpp>
#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/source_location.hpp>
#include <chervilbend/config/yaml_node.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::config
{

/// The destination of the faults and source locations that a map_reader finds.
struct map_reader_output {
    std::string file;
    std::vector<fault> &faults;
    /// Source locations of the values, by their paths in the merged declaration.
    std::map<std::string, source_location> &locations;
};

/// Reads the values of one YAML map by key, and adds a fault for each key that is missing, unknown or of the wrong type.
class map_reader
{
public:
    /// @p path is that of the map in its file, @p mergedPath that in the merged declaration. Both are empty for a file's root.
    map_reader(const yaml_node &node, std::string path, std::string mergedPath, map_reader_output output);

    /// These functions read a value into @p target if the key is present. A required key that is absent is a fault.
    void text(const std::string &key, std::string &target, bool required = false);
    void integer(const std::string &key, int &target);
    void flag(const std::string &key, bool &target);
    void bytes(const std::string &key, base::byte_count &target, bool required = false);
    void duration(const std::string &key, base::milliseconds &target);
    void urgency(const std::string &key, base::work_class &target);

    /// Readers for the maps in a list of maps. @p firstIndex is the number of elements that earlier files added to the merged list.
    std::vector<map_reader> maps(const std::string &key, std::size_t firstIndex);
    /// A reader for a single map; empty if the key is absent or its value is not a map.
    std::vector<map_reader> map(const std::string &key);

    /// Adds a fault for each key that was not read.
    void finish();

    void addFault(int line, const std::string &key, const std::string &text);
    source_location location() const;
    const yaml_node &node() const
    {
        return *m_node;
    }
    int line() const
    {
        return m_node->line;
    }
    int lineOf(const std::string &key) const;
    const map_reader_output &output() const
    {
        return m_output;
    }

private:
    const yaml_node *take(const std::string &key, bool required);
    const std::string *takeScalar(const std::string &key, bool required, std::string_view expected);
    std::string pathOf(const std::string &key) const;
    std::string mergedPathOf(const std::string &key) const;

    const yaml_node *m_node;
    std::string m_path;
    std::string m_mergedPath;
    map_reader_output m_output;
    std::vector<std::string> m_known;
};

} // namespace chervilbend::config
