#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/command_dispatcher.hpp>
#include <chervilbend/fleet/engine_inventory.hpp>
#include <chervilbend/fleet/engine_update.hpp>
#include <chervilbend/fleet/model_policy.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

class command_lease;
class endpoint_registry;

/// Control loop of the lease holder: collects the demand of all nodes, decides which models and adapters the engines hold, and commands the
/// engines. Does nothing on a node that does not hold the lease.
class engine_controller
{
public:
    using configuration_source = std::function<std::shared_ptr<const traffic_configuration>()>;

    /// References must outlive the controller.
    engine_controller(const boost::asio::any_io_executor &executor,
                      engine_commands &engines,
                      command_lease &lease,
                      const endpoint_registry &registry,
                      configuration_source configuration);

    /// Commands.

    /// Plans periodically while the lease is held. Does not return.
    boost::asio::awaitable<void> run();
    /// The lease was gained or lost.
    void leaseChanged(bool isHolder);
    /// Registrations have changed or ended.
    void endpointsChanged(const std::set<base::endpoint_id> &changed);
    /// Processes a node's report and returns the response, without updates. Call only on the holder.
    holder_response report(const node_report &report);
    /// Has the item loaded on some engine, and waits for it until @p until. False when it is not loaded by then, or the lease is lost.
    boost::asio::awaitable<bool> ensureLoaded(requested_item item, base::time_point until);
    /// The listener is called after each change of what an engine holds.
    void onChange(std::function<void()> listener);

    /// Queries.

    /// The engines that hold the item and accept new work.
    std::vector<engine_update> holders(const requested_item &item) const;
    /// The engines that have changed since a version.
    std::vector<engine_update> updatesSince(std::int64_t version) const;
    std::int64_t version() const
    {
        return m_inventory.version();
    }
    const command_dispatcher &dispatcher() const
    {
        return m_dispatcher;
    }

private:
    struct reported_demand {
        std::map<std::string, int> open;
        base::time_point when;
    };

    struct wait_state {
        int waiting = 0;
        /// When an adapter was last evicted to make room for this item.
        base::time_point evictionStartedAt{base::milliseconds(-1'000'000)};
    };
    using requested_map = std::map<requested_item, wait_state>;
    class waiting_task;

    engine_update updateOf(const base::endpoint_id &id, const engine_record &engine) const;
    const service_rule *findService(const base::service_id &id) const;
    void placeRequestedItems();
    void plan(const service_rule &service);
    void apply(const model_change &change, const service_rule &service);
    void placeRequestedItem(const requested_item &item);
    void recordUse(const std::string &pool);
    model_demand demandFor(const service_rule &service) const;
    int liveNodes() const;
    /// The number of live nodes before this one, in the order of their ids.
    int rankOf(const base::node_id &node) const;
    bool haveAllReported() const;
    void handleChange();
    base::milliseconds loadTime(const engine_record &engine, const model_rule &model) const;

    boost::asio::any_io_executor m_executor;
    command_lease &m_lease;
    const endpoint_registry &m_registry;
    configuration_source m_configuration;
    engine_inventory m_inventory;
    command_dispatcher m_dispatcher;
    std::map<base::service_id, model_policy> m_policies;
    std::map<base::node_id, reported_demand> m_reports;
    /// When the lease was last gained or lost.
    base::time_point m_leaseChangedAt;
    /// Items that requests are waiting for; shared with the tasks that wait, which may outlive the controller.
    std::shared_ptr<requested_map> m_requestedItems = std::make_shared<requested_map>();
    net::change_signal m_changed;
    std::function<void()> m_listener;
};

} // namespace chervilbend::fleet
