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

/// What is watched.
struct watch_options {
    /// By endpoint id.
    std::map<std::string, net::address> engines;
    std::map<std::string, net::address> services;
    struct node {
        net::address callers;
        net::address peers;
    };
    std::vector<node> nodes;
};

/// Reads what engines, the order service and nodes say of themselves, over and over, and the counts of runs at the end.
class system_watch
{
public:
    system_watch(watch_options options, ctl::node_client &caller, history_writer &history);

    /// Watches until @p stopped becomes true.
    void run(const volatile bool &stopped);
    void writeRuns();

private:
    void readEngines();
    void readServices();
    void readNodes();
    std::string get(const net::address &where, const std::string &path);

    watch_options m_options;
    ctl::node_client &m_caller;
    history_writer &m_history;
};

} // namespace chervilbend::load
