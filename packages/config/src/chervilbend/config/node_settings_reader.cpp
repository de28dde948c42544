#include <chervilbend/config/node_settings_reader.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/nearest_name.hpp>
#include <chervilbend/config/node_setting_table.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/config/yaml_reader.hpp>

#include <algorithm>

namespace chervilbend::config
{

namespace
{

const char *const commandLine = "command line";

std::vector<std::string> settingNames()
{
    std::vector<std::string> names;
    for (const node_setting &setting : nodeSettingTable()) {
        names.push_back(setting.name);
    }
    return names;
}

const node_setting *findSetting(const std::string &name)
{
    const auto &table = nodeSettingTable();
    const auto found = std::find_if(table.begin(), table.end(), [&](const node_setting &setting) { return setting.name == name; });
    return found == table.end() ? nullptr : &*found;
}

/// Whether the setting belongs to a service that the platform's metadata store replaces.
bool isReplacedByMetadataStore(const std::string &name)
{
    return name == "log" || name == "hosts" || name == "store" || name == "keys";
}

/// The text of a scalar, or the scalars of a list joined by commas. No value for other nodes.
std::optional<std::string> textOf(const yaml_node &value, bool listAllowed)
{
    if (value.kind == yaml_kind::scalar) {
        return value.text;
    }
    if (value.kind != yaml_kind::sequence || !listAllowed) {
        return std::nullopt;
    }
    std::string text;
    for (const yaml_node &item : value.items) {
        // An item that contains a comma would later be split in two.
        if (item.kind != yaml_kind::scalar || item.text.find(',') != std::string::npos) {
            return std::nullopt;
        }
        text += concat({text.empty() ? "" : ",", item.text});
    }
    return text;
}

} // namespace

std::optional<node_settings> node_settings_reader::read(const std::string &file, const std::string &text, const std::map<std::string, std::string> &overrides)
{
    m_faults.clear();
    node_settings settings;
    std::map<std::string, int> lines;
    applyFile(file, text, settings, lines);
    for (const auto &[name, value] : overrides) {
        const node_setting *setting = findSetting(name);
        const std::string problem = setting ? setting->set(settings, value) : unknownKeyText(name, settingNames());
        if (!problem.empty()) {
            m_faults.push_back({commandLine, 0, name, problem});
        }
    }
    for (const node_setting &setting : nodeSettingTable()) {
        const bool isReplaced = !settings.metadataStore.empty() && isReplacedByMetadataStore(setting.name);
        if (setting.defaultText.empty() && !isReplaced && !lines.contains(setting.name) && !overrides.contains(setting.name)) {
            m_faults.push_back({file, 0, setting.name, concat({"is missing: ", setting.help})});
        }
    }
    checkConsistency(file, settings, lines);
    if (!m_faults.empty()) {
        return fail(base::error_kind::settingInvalid, toString(m_faults.front()));
    }
    return settings;
}

std::optional<std::vector<std::string>> node_settings_reader::readKeys(const std::string &file, const std::string &text)
{
    m_faults.clear();
    node_settings settings;
    std::map<std::string, int> lines;
    applyFile(file, text, settings, lines);
    if (settings.keys.empty()) {
        const auto keysFault = std::find_if(m_faults.begin(), m_faults.end(), [](const fault &item) { return item.key == "keys" || item.key.empty(); });
        return fail(base::error_kind::settingInvalid, keysFault == m_faults.end() ? concat({file, ": keys: is missing"}) : toString(*keysFault));
    }
    return settings.keys;
}

void node_settings_reader::applyFile(const std::string &file, const std::string &text, node_settings &settings, std::map<std::string, int> &lines)
{
    yaml_reader reader(file);
    const std::optional<yaml_node> root = reader.read(text);
    m_faults = reader.faults();
    if (root && root->kind != yaml_kind::map) {
        m_faults.push_back({file, root->line, {}, "is not a map of keys and values"});
    }
    if (!root || root->kind != yaml_kind::map) {
        return;
    }
    for (std::size_t i = 0; i < root->keys.size(); ++i) {
        const yaml_key &key = root->keys[i];
        const node_setting *setting = findSetting(key.name);
        if (!setting) {
            m_faults.push_back({file, key.line, key.name, unknownKeyText(key.name, settingNames())});
            continue;
        }
        lines[key.name] = key.line;
        const std::optional<std::string> value = textOf(root->items[i], key.name == "keys");
        const std::string problem = value ? setting->set(settings, *value) : concat({"is not a ", setting->unit});
        if (!problem.empty()) {
            m_faults.push_back({file, key.line, key.name, problem});
        }
    }
}

void node_settings_reader::checkConsistency(const std::string &file, const node_settings &settings, const std::map<std::string, int> &lines)
{
    const auto add = [&](const std::string &name, std::string text) {
        const auto line = lines.find(name);
        m_faults.push_back({file, line == lines.end() ? 0 : line->second, name, std::move(text)});
    };
    // Leases must survive one lost or late heartbeat.
    if (settings.leaseTerm < 2 * settings.heartbeatInterval) {
        add("leaseTerm", concat({formatDuration(settings.leaseTerm), " is less than twice heartbeatInterval, ", formatDuration(settings.heartbeatInterval)}));
    }
    if (settings.shutdownBound <= settings.balancerWait) {
        add("shutdownBound", concat({formatDuration(settings.shutdownBound), " is not more than balancerWait, ", formatDuration(settings.balancerWait)}));
    }
    if (!settings.listen.empty() && settings.listen == settings.peerListen) {
        add("peerListen", "is the same as listen");
    }
}

} // namespace chervilbend::config
