#include <chervilbend/ctl/service_directory.hpp>

#include <chervilbend/config/service_files.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <vector>

namespace chervilbend::ctl
{

namespace
{

constexpr std::string_view fileSuffix = ".chervilbend.yaml";
constexpr std::size_t maxFiles = 10'000;

using directory_walk = std::filesystem::recursive_directory_iterator;

std::vector<std::string> findFiles(const std::string &directory, std::error_code &error)
{
    std::vector<std::string> files;
    directory_walk walk(directory, std::filesystem::directory_options::skip_permission_denied, error);
    while (!error && walk != directory_walk()) {
        const std::string name = walk->path().filename().string();
        std::error_code typeError;
        if (walk->is_directory(typeError) && name.starts_with('.')) {
            walk.disable_recursion_pending();
        } else if (walk->is_regular_file(typeError) && name.ends_with(fileSuffix)) {
            files.push_back(walk->path().string());
        }
        walk.increment(error);
    }
    std::ranges::sort(files);
    return files;
}

config::fault faultOf(const std::string &file, std::string text)
{
    return {file, 0, {}, std::move(text)};
}

} // namespace

config::service_set readServiceDirectory(const std::string &directory)
{
    std::error_code error;
    const std::vector<std::string> files = findFiles(directory, error);
    std::vector<config::fault> faults;
    if (error) {
        faults.push_back(faultOf(directory, "cannot be searched: " + error.message()));
    } else if (files.empty()) {
        faults.push_back(faultOf(directory, "contains no file named *" + std::string(fileSuffix)));
    } else if (files.size() > maxFiles) {
        faults.push_back(faultOf(directory, "contains more than " + std::to_string(maxFiles) + " service files"));
    }
    if (!faults.empty()) {
        config::service_set set;
        set.faults = std::move(faults);
        return set;
    }
    config::service_files reader;
    for (const std::string &file : files) {
        std::ifstream stream(file, std::ios::binary);
        std::ostringstream text;
        // Inserting an empty buffer sets failbit, so only the source stream distinguishes an empty file from an unreadable one.
        text << stream.rdbuf();
        if (!stream.is_open() || stream.bad()) {
            faults.push_back(faultOf(file, "cannot be read"));
            continue;
        }
        reader.add(file, text.str());
    }
    config::service_set set = reader.finish();
    std::ranges::move(faults, std::back_inserter(set.faults));
    return set;
}

} // namespace chervilbend::ctl
