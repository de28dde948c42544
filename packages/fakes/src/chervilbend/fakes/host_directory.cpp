#include <chervilbend/fakes/host_directory.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::fakes
{

namespace
{

auto findHost(std::vector<external::host_entry> &hosts, const std::string &id)
{
    return std::find_if(hosts.begin(), hosts.end(), [&id](const external::host_entry &host) { return host.id == id; });
}

} // namespace

host_directory::host_directory(base::milliseconds lag)
    : m_lag(lag)
{
    m_history.record(base::clock::now(), {});
}

void host_directory::set(external::host_entry host)
{
    std::vector<external::host_entry> hosts = currentHosts();
    const auto found = findHost(hosts, host.id);
    if (found == hosts.end()) {
        hosts.push_back(std::move(host));
    } else {
        *found = std::move(host);
    }
    m_history.record(base::clock::now(), std::move(hosts));
}

void host_directory::remove(const std::string &id)
{
    std::vector<external::host_entry> hosts = currentHosts();
    const auto found = findHost(hosts, id);
    if (found != hosts.end()) {
        hosts.erase(found);
        m_history.record(base::clock::now(), std::move(hosts));
    }
}

bool host_directory::setLeaving(const std::string &id, bool leaving)
{
    std::vector<external::host_entry> hosts = currentHosts();
    const auto found = findHost(hosts, id);
    if (found == hosts.end()) {
        return false;
    }
    found->draining = leaving;
    m_history.record(base::clock::now(), std::move(hosts));
    return true;
}

void host_directory::setLag(base::milliseconds lag)
{
    m_lag = lag;
}

const std::vector<external::host_entry> &host_directory::delayedHosts()
{
    return m_history.at(base::clock::now() - m_lag);
}

const std::vector<external::host_entry> &host_directory::currentHosts() const
{
    return m_history.newest();
}

} // namespace chervilbend::fakes
