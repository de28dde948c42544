#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_update.hpp>
#include <chervilbend/fleet/report_pacer.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace chervilbend::peers
{
class rpc_caller;
}

namespace chervilbend::routing
{
class helper_nodes;
class leaving_endpoints;
class prompt_part_tracker;
class unreachable_endpoints;
class unreachable_reports;
struct cluster_knowledge;
} // namespace chervilbend::routing

namespace chervilbend::fleet
{

class command_lease;
class engine_controller;
class known_residency;
class rate_limit_exchange;
class store_relay;
class usage_meter;

/// A node's client for the holder of the command lease, which may be the node itself: reports the demand, receives what the engines hold, and
/// requests items that are missing.
class holder_client
{
public:
    /// References, and what @p knowledge refers to, must outlive the client.
    holder_client(base::node_id node,
                  command_lease &lease,
                  engine_controller &controller,
                  peers::rpc_caller &peers,
                  known_residency &residency,
                  usage_meter &usage,
                  store_relay &relay,
                  const routing::cluster_knowledge &knowledge,
                  rate_limit_exchange &rateLimits);

    /// Commands.

    /// Exchanges reports and updates with the holder periodically. Does not return.
    boost::asio::awaitable<void> run();
    /// Waits until an engine that accepts new work holds the item, at most until @p until. False when none does.
    boost::asio::awaitable<bool> ensureLoaded(requested_item item, base::time_point until);
    /// The listener is called with the engines whose items have changed.
    void onChange(std::function<void(const std::set<base::endpoint_id> &)> listener);
    /// The listener is called after each exchange with the number of nodes.
    void onNodes(std::function<void(int)> listener);
    /// The listener is called after each exchange with the position of this node among all nodes.
    void onRank(std::function<void(int)> listener);
    /// The listener is called once, when the holder has answered for the first time.
    void onFirstAnswer(std::function<void()> listener);
    /// Applies the changes of this node's own controller, when this node holds the lease.
    void applyLocalUpdates();

    /// Number of items that the holder is being asked for.
    std::size_t pendingRequests() const
    {
        return m_pendingRequests->size();
    }

private:
    using pending_map = std::map<requested_item, std::shared_ptr<net::change_signal>>;
    class pending_request;

    boost::asio::awaitable<bool> exchange();
    void handleAnswer();
    /// No holder is known, or the known one has not answered.
    void handleSilence(bool isHolderKnown);
    /// Shares what this node has seen of the parts of prompts with the last known holder, whose lease may have ended.
    boost::asio::awaitable<void> exchangePrompts();
    boost::asio::awaitable<void> requestItem(requested_item item, base::time_point until);
    void applyResponse(const holder_response &answer);
    void notifyNodes(const holder_response &answer) const;
    void notify(const std::set<base::endpoint_id> &changed) const;

    base::node_id m_node;
    command_lease &m_lease;
    engine_controller &m_controller;
    peers::rpc_caller &m_peers;
    known_residency &m_residency;
    usage_meter &m_usage;
    store_relay &m_relay;
    routing::prompt_part_tracker &m_prompts;
    routing::leaving_endpoints &m_leaving;
    routing::unreachable_endpoints &m_unreachable;
    routing::unreachable_reports &m_unreachableReports;
    routing::helper_nodes &m_helpers;
    rate_limit_exchange &m_rateLimits;
    std::function<void(const std::set<base::endpoint_id> &)> m_listener;
    std::function<void(int)> m_nodesListener;
    std::function<void(int)> m_rankListener;
    std::function<void()> m_firstAnswerListener;
    /// An endpoint was lost on a part of a prompt that may have crashed it.
    net::change_signal m_lossSeen;
    /// Signals that are notified when the request for an item has been answered.
    std::shared_ptr<pending_map> m_pendingRequests = std::make_shared<pending_map>();
    std::int64_t m_token = 0;
    std::int64_t m_version = 0;
    base::time_point m_answeredAt;
    bool m_isReachable = false;
    /// Time until the next report: what the holder asked for, and longer while it does not answer.
    base::milliseconds m_interval = report_pacer::shortestInterval;
};

} // namespace chervilbend::fleet
