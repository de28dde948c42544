#pragma once

#include <chervilbend/ctl/node_client.hpp>
#include <chervilbend/load/history_writer.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_client.hpp>

#include <map>
#include <string>
#include <vector>

namespace chervilbend::load
{

/// The processes to monitor.
struct monitor_options {
    /// Addresses by endpoint id.
    std::map<std::string, net::address> engines;
    std::map<std::string, net::address> services;
    struct node {
        net::address callerAddress;
        net::address peerAddress;
    };
    std::vector<node> nodes;
};

/// Polls the status of engines, the order service and nodes, and reads the execution counts at the end.
class system_monitor
{
public:
    system_monitor(monitor_options options, ctl::node_client &caller, history_writer &history);

    /// Polls until @p stopped becomes true.
    void run(const volatile bool &stopped);
    void writeRuns();

private:
    void readEngines();
    void readServices();
    void readNodes();
    std::string get(const net::address &address, const std::string &path);

    monitor_options m_options;
    ctl::node_client &m_caller;
    history_writer &m_history;
};

} // namespace chervilbend::load
