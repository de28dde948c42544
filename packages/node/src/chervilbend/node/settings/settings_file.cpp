#include <chervilbend/node/settings/settings_file.hpp>

#include <chervilbend/base/clock.hpp>
#include <chervilbend/config/node_settings_reader.hpp>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>
#include <thread>
#include <utility>

namespace chervilbend::node
{

namespace
{
/// A file that was changed longer ago is not being written any more.
constexpr base::milliseconds writeTime{1'000};
constexpr base::milliseconds rereadInterval{50};
/// A platform that replaces the file, or writes it only when it starts the process, has done so by then.
constexpr base::milliseconds missingFileWait{10'000};
} // namespace

settings_file::settings_file(std::string path)
    : m_path(std::move(path))
{
}

std::optional<config::node_settings> settings_file::load(const std::map<std::string, std::string> &overrides)
{
    m_faults.clear();
    std::optional<std::string> text = readText();
    if (!text) {
        m_faults.push_back({m_path, 0, {}, lastReason().text});
        return std::nullopt;
    }
    config::node_settings_reader reader;
    auto settings = reader.read(m_path, *text, overrides);
    m_faults = reader.faults();
    if (!settings) {
        return fail(reader.lastReason());
    }
    m_lastReadText = std::move(*text);
    m_keys = settings->keys;
    return settings;
}

std::optional<config::node_settings> settings_file::loadWhenComplete(const std::map<std::string, std::string> &overrides,
                                                                     const std::function<bool()> &isStopRequested)
{
    const base::time_point missingUntil = base::clock::now() + missingFileWait;
    auto settings = load(overrides);
    if (!settings && isMissing()) {
        std::cerr << "chervilbend: waiting for " << m_path << std::endl;
    }
    while (!settings && !isStopRequested() && (isRecent() || (isMissing() && base::clock::now() < missingUntil))) {
        std::this_thread::sleep_for(rereadInterval);
        settings = load(overrides);
    }
    return settings;
}

bool settings_file::isMissing() const
{
    std::error_code error;
    return !m_path.empty() && !std::filesystem::exists(m_path, error) && !error;
}

bool settings_file::isRecent() const
{
    std::error_code error;
    const auto writtenAt = std::filesystem::last_write_time(m_path, error);
    return !error && std::chrono::abs(std::filesystem::file_time_type::clock::now() - writtenAt) < writeTime;
}

std::optional<std::vector<std::string>> settings_file::rereadKeys()
{
    std::optional<std::string> text = readText();
    if (!text) {
        return std::nullopt;
    }
    if (*text == m_lastReadText) {
        return fail(base::error_kind::settingInvalid, {});
    }
    m_lastReadText = std::move(*text);
    config::node_settings_reader reader;
    auto keys = reader.readKeys(m_path, m_lastReadText);
    if (!keys) {
        return fail(reader.lastReason());
    }
    if (*keys == m_keys) {
        return fail(base::error_kind::settingInvalid, {});
    }
    m_keys = *keys;
    return keys;
}

std::optional<std::string> settings_file::readText()
{
    errno = 0;
    std::ifstream stream(m_path, std::ios::binary);
    if (stream.good() && stream.peek() == std::ifstream::traits_type::eof() && errno == 0) {
        return fail(base::error_kind::settingInvalid, m_path + " is empty");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream.good() || !text.good()) {
        return fail(base::error_kind::settingInvalid, m_path + " cannot be read: " + std::strerror(errno));
    }
    return text.str();
}

} // namespace chervilbend::node
