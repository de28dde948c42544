#include <chervilbend/ctl/key_file.hpp>

#include <fstream>
#include <utility>
#include <vector>

namespace chervilbend::ctl
{

key_file::key_file(std::string path)
    : m_path(std::move(path))
{
}

std::optional<membership::signing_keys> key_file::read()
{
    if (m_path.empty()) {
        return fail(base::error_kind::settingInvalid, "no secret file was given");
    }
    std::ifstream stream(m_path);
    std::vector<std::string> secrets;
    for (std::string line; secrets.size() < 3 && std::getline(stream, line);) {
        const std::size_t end = line.find_last_not_of(" \t\r");
        if (end != std::string::npos) {
            secrets.push_back(line.substr(0, end + 1));
        }
    }
    if (!stream.is_open()) {
        return fail(base::error_kind::settingInvalid, m_path + " cannot be read");
    }
    if (secrets.empty() || secrets.size() > 2) {
        return fail(base::error_kind::settingInvalid, m_path + " must contain one or two secrets, one per line");
    }
    return membership::signing_keys{secrets[0], secrets.size() == 2 ? secrets[1] : std::string()};
}

} // namespace chervilbend::ctl
