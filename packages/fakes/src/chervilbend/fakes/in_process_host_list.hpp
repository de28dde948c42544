#pragma once

#include <chervilbend/external/host_list.hpp>
#include <chervilbend/fakes/host_directory.hpp>

#include <memory>

namespace chervilbend::fakes
{

/// Gives a node access to a host directory in the same process.
class in_process_host_list : public external::host_list
{
public:
    explicit in_process_host_list(std::shared_ptr<host_directory> directory);

    void setReachable(bool reachable);

    boost::asio::awaitable<std::optional<std::vector<external::host_entry>>> fetch() override;

private:
    std::shared_ptr<host_directory> m_directory;
    bool m_reachable = true;
};

} // namespace chervilbend::fakes
