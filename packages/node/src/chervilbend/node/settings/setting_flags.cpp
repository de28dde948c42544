#include <chervilbend/node/settings/setting_flags.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/node_setting_table.hpp>

#include <gflags/gflags.h>

#include <deque>

namespace chervilbend::node
{

namespace
{

/// gflags keeps pointers to these members until the process ends.
struct setting_flag {
    std::string name;
    std::string help;
    std::string value;
    std::string defaultValue;
};

std::deque<setting_flag> &settingFlags()
{
    static std::deque<setting_flag> flags;
    return flags;
}

} // namespace

void defineSettingFlags()
{
    for (const config::node_setting &setting : config::nodeSettingTable()) {
        if (setting.name == "keys") {
            continue;
        }
        setting_flag &flag = settingFlags().emplace_back();
        flag.name = setting.name;
        flag.help = config::concat({setting.help, " (", setting.unit, ", ", setting.range, ")"});
        flag.value = setting.defaultText;
        flag.defaultValue = setting.defaultText;
        gflags::FlagRegisterer(flag.name.c_str(), flag.help.c_str(), "settings", &flag.value, &flag.defaultValue);
    }
}

std::map<std::string, std::string> givenSettingFlags()
{
    std::map<std::string, std::string> given;
    for (const setting_flag &flag : settingFlags()) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(flag.name.c_str(), &info) && !info.is_default) {
            given[flag.name] = flag.value;
        }
    }
    return given;
}

} // namespace chervilbend::node
