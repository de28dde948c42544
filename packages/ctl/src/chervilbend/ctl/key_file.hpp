#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/membership/signing_keys.hpp>

#include <optional>
#include <string>

namespace chervilbend::ctl
{

/// File of one or two shared secrets, one per line. Requests are signed with the first.
class key_file : public base::reason_holder
{
public:
    explicit key_file(std::string path);

    std::optional<membership::signing_keys> read();

private:
    std::string m_path;
};

} // namespace chervilbend::ctl
