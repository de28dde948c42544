#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/net/address.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace chervilbend::external
{
class engine_control;
} // namespace chervilbend::external

namespace chervilbend::control
{

class report_listener;

/// Polls the load reports of engines, with one task for each engine in the host list that the filter accepts.
class report_poller : public host_listener
{
public:
    using filter = std::function<bool(const external::host_entry &)>;

    /// All references must outlive the tasks. Without a filter, all engines are polled.
    report_poller(const boost::asio::any_io_executor &executor, external::engine_control &engines, base::milliseconds interval);
    ~report_poller() override;

    /// A listener must outlive the tasks.
    void addListener(report_listener &listener);
    void setFilter(filter accepts);
    void hostsChanged(const std::vector<external::host_entry> &hosts) override;

private:
    struct target {
        net::address where;
        bool active = true;
    };

    boost::asio::awaitable<void> poll(base::endpoint_id endpoint, std::shared_ptr<target> engine);

    boost::asio::any_io_executor m_executor;
    external::engine_control &m_engines;
    std::vector<report_listener *> m_listeners;
    base::milliseconds m_interval;
    filter m_filter;
    std::map<base::endpoint_id, std::shared_ptr<target>> m_targets;
};

} // namespace chervilbend::control
