#include <chervilbend/fleet/engine_controller.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/adapter_policy.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/pool_name.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

constexpr base::milliseconds planInterval{200};
/// A node that has not reported for this time is considered gone.
constexpr base::milliseconds reportLifetime{2'000};
/// Time after which all other nodes have found a new holder and reported to it.
constexpr base::milliseconds reportCollectionTime{1'000};
/// Approximate time that an engine takes to load an adapter and begin to serve it.
constexpr base::milliseconds adapterLoadTime{8};
/// One adapter is evicted for a requested item; another one only if the item was not loaded within this time.
constexpr base::milliseconds evictionRetryInterval{400};

const log4cxx::LoggerPtr &placeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("place");
    return logger;
}

} // namespace

engine_controller::engine_controller(const asio::any_io_executor &executor,
                                     engine_commands &engines,
                                     command_lease &lease,
                                     const endpoint_registry &registry,
                                     configuration_source configuration)
    : m_executor(executor)
    , m_lease(lease)
    , m_registry(registry)
    , m_configuration(std::move(configuration))
    , m_dispatcher(executor, engines, m_inventory, lease, [this](const base::service_id &id) {
        const service_rule *const service = findService(id);
        return service && service->engine ? &*service->engine : nullptr;
    })
{
    m_dispatcher.onChange([this] { handleChange(); });
}

void engine_controller::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

const service_rule *engine_controller::findService(const base::service_id &id) const
{
    const std::shared_ptr<const traffic_configuration> configuration = m_configuration();
    if (!configuration) {
        return nullptr;
    }
    // The returned pointer stays valid, because the source keeps the configuration until the next one, which no call here triggers.
    const auto service = configuration->services.find(id);
    return service == configuration->services.end() ? nullptr : &service->second;
}

void engine_controller::placeRequestedItems()
{
    const requested_map requested = *m_requestedItems;
    for (const auto &[item, waiting] : requested) {
        placeRequestedItem(item);
    }
}

void engine_controller::handleChange()
{
    placeRequestedItems();
    m_changed.notify();
    if (m_listener) {
        m_listener();
    }
}

void engine_controller::leaseChanged(bool isHolder)
{
    m_dispatcher.clear();
    m_inventory.clear();
    m_reports.clear();
    m_leaseChangedAt = base::clock::now();
    m_policies.clear();
    // Registrations that another node relayed lack the models, so a new holder first reads them itself.
    if (isHolder && !m_registry.isRelayed()) {
        std::set<base::endpoint_id> all;
        for (const auto &[id, known] : m_registry.endpoints()) {
            all.insert(id);
        }
        endpointsChanged(all);
    }
    handleChange();
}

void engine_controller::endpointsChanged(const std::set<base::endpoint_id> &changed)
{
    if (!m_lease.isHolder() || m_registry.isRelayed()) {
        return;
    }
    for (const base::endpoint_id &id : changed) {
        const auto known = m_registry.endpoints().find(id);
        if (known == m_registry.endpoints().end()) {
            m_inventory.remove(id);
        } else if (const service_rule *const service = findService(known->second.entry.service); service && service->engine) {
            m_inventory.sync(known->second);
        }
    }
    handleChange();
}

asio::awaitable<void> engine_controller::run()
{
    while (true) {
        co_await net::sleepFor(planInterval);
        const std::shared_ptr<const traffic_configuration> configuration = m_configuration();
        if (!configuration || !m_lease.mayCommand() || m_registry.isRelayed()) {
            continue;
        }
        for (const auto &[id, service] : configuration->services) {
            if (!service.engine) {
                continue;
            }
            for (const auto &[endpoint, known] : m_registry.endpoints()) {
                if (known.entry.service == id) {
                    m_inventory.sync(known);
                    m_dispatcher.queryState(endpoint);
                }
            }
            plan(service);
        }
        placeRequestedItems();
    }
}

void engine_controller::plan(const service_rule &service)
{
    for (const model_change &change : m_policies[service.id].plan(m_inventory, service, demandFor(service), base::clock::now())) {
        apply(change, service);
    }
}

void engine_controller::apply(const model_change &change, const service_rule &service)
{
    const engine_record *const engine = m_inventory.find(change.engine);
    const model_rule *const model = service.engine->findModel(change.model);
    if (!engine) {
        return;
    }
    queued_command command;
    command.model = change.model;
    command.reason = change.reason;
    bool entered = false;
    if (change.isLoad && model) {
        command.action = engine_action::load;
        command.expected = loadTime(*engine, *model);
        entered = m_inventory.startLoad(change.engine, *service.engine, change.model, {});
    } else if (!change.isLoad) {
        command.action = engine_action::unload;
        entered = m_inventory.startUnload(change.engine, change.model, {});
    }
    if (!entered) {
        LOG4CXX_DEBUG(placeLog(), base::log_event("moveImpossible").with("endpoint", change.engine.value()).with("model", change.model).text());
        return;
    }
    m_dispatcher.enqueue(change.engine, std::move(command));
    handleChange();
}

base::milliseconds engine_controller::loadTime(const engine_record &engine, const model_rule &model) const
{
    return engine.entry.cached.contains(model.name) ? model.warmLoadTime : model.loadTime;
}

model_demand engine_controller::demandFor(const service_rule &service) const
{
    const base::time_point oldest = base::clock::now() - reportLifetime;
    model_demand demand;
    for (const model_rule &model : service.engine->models) {
        const std::string pool = poolName(service.id, model.name, {});
        double open = 0;
        for (const auto &[node, report] : m_reports) {
            const auto count = report.open.find(pool);
            open += report.when >= oldest && count != report.open.end() ? count->second : 0;
        }
        demand[model.name] = open / service.engine->slots;
    }
    return demand;
}

int engine_controller::liveNodes() const
{
    const base::time_point oldest = base::clock::now() - reportLifetime;
    return static_cast<int>(std::count_if(m_reports.begin(), m_reports.end(), [&](const auto &report) { return report.second.when >= oldest; }));
}

int engine_controller::rankOf(const base::node_id &node) const
{
    const base::time_point oldest = base::clock::now() - reportLifetime;
    return static_cast<int>(std::count_if(m_reports.begin(), m_reports.lower_bound(node), [&](const auto &report) { return report.second.when >= oldest; }));
}

bool engine_controller::haveAllReported() const
{
    return base::clock::now() - m_leaseChangedAt >= reportCollectionTime;
}

holder_response engine_controller::report(const node_report &report)
{
    m_reports[report.node] = {report.open, base::clock::now()};
    for (const auto &[pool, count] : report.open) {
        recordUse(pool);
    }
    for (const std::string &pool : report.used) {
        recordUse(pool);
    }
    holder_response answer;
    if (const std::optional<lease_record> lease = m_lease.holder()) {
        answer.lease = *lease;
    }
    answer.offset = m_lease.offset();
    answer.age = m_lease.age();
    // Until all nodes have reported, the count in the lease record is more accurate.
    answer.nodes = std::max({1, liveNodes(), haveAllReported() ? 0 : m_lease.nodes()});
    m_lease.setNodes(answer.nodes);
    answer.rank = rankOf(report.node);
    return answer;
}

void engine_controller::recordUse(const std::string &pool)
{
    const std::size_t adapter = pool.rfind('/');
    const std::size_t model = adapter == std::string::npos || adapter == 0 ? std::string::npos : pool.rfind('/', adapter - 1);
    if (model == std::string::npos) {
        return;
    }
    const std::string modelName = pool.substr(model + 1, adapter - model - 1);
    const std::string adapterName = pool.substr(adapter + 1);
    const base::time_point now = base::clock::now();
    for (const auto &[id, engine] : m_inventory.engines()) {
        m_inventory.recordUse(id, modelName, adapterName, now);
    }
}

engine_update engine_controller::updateOf(const base::endpoint_id &id, const engine_record &engine) const
{
    return {id, engine.entry.startedAt, m_lease.token(), engine.version, loadedModels(engine)};
}

std::vector<engine_update> engine_controller::updatesSince(std::int64_t version) const
{
    std::vector<engine_update> updates;
    for (const auto &[id, engine] : m_inventory.engines()) {
        if (engine.version > version) {
            updates.push_back(updateOf(id, engine));
        }
    }
    return updates;
}

std::vector<engine_update> engine_controller::holders(const requested_item &item) const
{
    std::vector<engine_update> updates;
    for (const auto &[id, engine] : m_inventory.engines()) {
        const auto model = engine.models.find(item.model);
        if (engine.entry.service != item.service || engine.entry.draining || model == engine.models.end() || model->second.state != item_state::loaded) {
            continue;
        }
        const auto adapter = model->second.adapters.find(item.adapter);
        if (item.adapter.empty() || (adapter != model->second.adapters.end() && adapter->second.state == item_state::loaded)) {
            updates.push_back(updateOf(id, engine));
        }
    }
    return updates;
}

/// Counts a task that waits for the item, until it ends or is cancelled.
class engine_controller::waiting_task
{
public:
    waiting_task(std::shared_ptr<requested_map> all, const requested_item &item)
        : m_all(std::move(all))
        , m_item(item)
    {
        ++(*m_all)[item].waiting;
    }

    ~waiting_task()
    {
        if (--(*m_all)[m_item].waiting == 0) {
            m_all->erase(m_item);
        }
    }

    waiting_task(const waiting_task &) = delete;
    waiting_task &operator=(const waiting_task &) = delete;

private:
    std::shared_ptr<requested_map> m_all;
    requested_item m_item;
};

asio::awaitable<bool> engine_controller::ensureLoaded(requested_item item, base::time_point until)
{
    if (!item.adapter.empty()) {
        recordUse(poolName(item.service, item.model, item.adapter));
    }
    const waiting_task waiting(m_requestedItems, item);
    placeRequestedItem(item);
    while (holders(item).empty() && m_lease.isHolder() && base::clock::now() < until) {
        co_await m_changed.wait(until);
    }
    co_return !holders(item).empty();
}

void engine_controller::placeRequestedItem(const requested_item &item)
{
    const service_rule *const service = findService(item.service);
    // Missing models are loaded by the planner.
    if (!service || !service->engine || item.adapter.empty() || !m_lease.mayCommand()) {
        return;
    }
    for (const auto &[id, engine] : m_inventory.engines()) {
        const auto model = engine.models.find(item.model);
        if (engine.entry.service == item.service && !engine.entry.draining && model != engine.models.end() && model->second.adapters.contains(item.adapter)) {
            return;
        }
    }
    const std::optional<adapter_placement> target = placeAdapter(m_inventory, *service, item.model);
    if (!target) {
        return;
    }
    if (target->victim) {
        const auto &[model, adapter] = *target->victim;
        const auto requested = m_requestedItems->find(item);
        const base::time_point now = base::clock::now();
        if (requested == m_requestedItems->end() || now < requested->second.evictionStartedAt + evictionRetryInterval) {
            return;
        }
        requested->second.evictionStartedAt = now;
        if (!m_inventory.startUnload(target->engine, model, adapter)) {
            return;
        }
        m_dispatcher.enqueue(target->engine,
                             {engine_action::unload, model, adapter, base::milliseconds(0), "makes room for " + item.model + '/' + item.adapter});
        return;
    }
    if (m_inventory.startLoad(target->engine, *service->engine, item.model, item.adapter)) {
        m_dispatcher.enqueue(target->engine, {engine_action::load, item.model, item.adapter, adapterLoadTime, "needed by a request"});
    }
}

} // namespace chervilbend::fleet
