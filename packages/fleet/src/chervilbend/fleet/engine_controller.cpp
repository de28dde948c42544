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
/// A node that has not reported for so long is gone.
constexpr base::milliseconds reportLife{2'000};
/// So long after a node has taken the lease, all others have found it and reported.
constexpr base::milliseconds reportsComplete{1'000};
/// An engine takes about so long to load an adapter, and a little more before it serves it.
constexpr base::milliseconds adapterLoadTime{8};
/// Room is made once for an item that is waited for, and again only if it did not come about in this time.
constexpr base::milliseconds roomPatience{400};

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
    , m_driver(executor, engines, m_ledger, lease, [this](const base::service_id &id) {
        const service_rule *const service = findService(id);
        return service && service->engine ? &*service->engine : nullptr;
    })
{
    m_driver.onChange([this] { changed(); });
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
    // The configuration in force is kept by its source until the next one, which no call here brings about.
    const auto service = configuration->services.find(id);
    return service == configuration->services.end() ? nullptr : &service->second;
}

void engine_controller::placeAllWanted()
{
    const std::map<requested_item, wait_state> wanted = m_wanted;
    for (const auto &[item, waiting] : wanted) {
        placeWanted(item);
    }
}

void engine_controller::changed()
{
    placeAllWanted();
    m_changed.notify();
    if (m_listener) {
        m_listener();
    }
}

void engine_controller::leaseChanged(bool isHolder)
{
    m_driver.clear();
    m_ledger.clear();
    m_reports.clear();
    m_heldSince = base::clock::now();
    m_policies.clear();
    // Registrations that another node relayed lack the models; the holder reads them itself first.
    if (isHolder && !m_registry.isRelayed()) {
        std::set<base::endpoint_id> all;
        for (const auto &[id, known] : m_registry.endpoints()) {
            all.insert(id);
        }
        endpointsChanged(all);
    }
    changed();
}

void engine_controller::endpointsChanged(const std::set<base::endpoint_id> &changedOnes)
{
    if (!m_lease.isHolder() || m_registry.isRelayed()) {
        return;
    }
    for (const base::endpoint_id &id : changedOnes) {
        const auto known = m_registry.endpoints().find(id);
        if (known == m_registry.endpoints().end()) {
            m_ledger.remove(id);
        } else if (const service_rule *const service = findService(known->second.entry.service); service && service->engine) {
            m_ledger.sync(known->second);
        }
    }
    changed();
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
                    m_ledger.sync(known);
                    m_driver.survey(endpoint);
                }
            }
            plan(service);
        }
        placeAllWanted();
    }
}

void engine_controller::plan(const service_rule &service)
{
    for (const model_move &move : m_policies[service.id].plan(m_ledger, service, demandFor(service), base::clock::now())) {
        apply(move, service);
    }
}

void engine_controller::apply(const model_move &move, const service_rule &service)
{
    const engine_record *const engine = m_ledger.find(move.engine);
    const model_rule *const model = service.engine->findModel(move.model);
    if (!engine) {
        return;
    }
    queued_command command;
    command.model = move.model;
    command.why = move.why;
    bool entered = false;
    if (move.isLoad && model) {
        command.action = engine_action::load;
        command.expected = loadTime(*engine, *model);
        entered = m_ledger.startLoad(move.engine, *service.engine, move.model, {});
    } else if (!move.isLoad) {
        command.action = engine_action::unload;
        entered = m_ledger.startUnload(move.engine, move.model, {});
    }
    if (!entered) {
        LOG4CXX_DEBUG(placeLog(), base::log_event("moveImpossible").with("endpoint", move.engine.value()).with("model", move.model).text());
        return;
    }
    m_driver.enqueue(move.engine, std::move(command));
    changed();
}

base::milliseconds engine_controller::loadTime(const engine_record &engine, const model_rule &model) const
{
    return engine.entry.cached.contains(model.name) ? model.warmLoadTime : model.loadTime;
}

model_demand engine_controller::demandFor(const service_rule &service) const
{
    const base::time_point oldest = base::clock::now() - reportLife;
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
    const base::time_point oldest = base::clock::now() - reportLife;
    return static_cast<int>(std::count_if(m_reports.begin(), m_reports.end(), [&](const auto &report) { return report.second.when >= oldest; }));
}

bool engine_controller::haveAllReported() const
{
    return base::clock::now() - m_heldSince >= reportsComplete;
}

holder_response engine_controller::report(const node_report &report)
{
    m_reports[report.node] = {report.open, base::clock::now()};
    for (const auto &[pool, count] : report.open) {
        noteUse(pool);
    }
    for (const std::string &pool : report.used) {
        noteUse(pool);
    }
    holder_response answer;
    if (const std::optional<lease_record> lease = m_lease.holder()) {
        answer.lease = *lease;
    }
    answer.offset = m_lease.offset();
    answer.age = m_lease.age();
    // Until all have reported, the count that stands in the lease's record is nearer to the truth.
    answer.nodes = std::max({1, liveNodes(), haveAllReported() ? 0 : m_lease.nodes()});
    m_lease.setNodes(answer.nodes);
    answer.version = m_ledger.version();
    answer.news = newsSince(report.token == m_lease.token() ? report.version : 0);
    return answer;
}

void engine_controller::noteUse(const std::string &pool)
{
    const std::size_t adapter = pool.rfind('/');
    const std::size_t model = adapter == std::string::npos || adapter == 0 ? std::string::npos : pool.rfind('/', adapter - 1);
    if (model == std::string::npos) {
        return;
    }
    const std::string modelName = pool.substr(model + 1, adapter - model - 1);
    const std::string adapterName = pool.substr(adapter + 1);
    const base::time_point now = base::clock::now();
    for (const auto &[id, engine] : m_ledger.engines()) {
        m_ledger.noteUse(id, modelName, adapterName, now);
    }
}

engine_update engine_controller::newsOf(const base::endpoint_id &id, const engine_record &engine) const
{
    return {id, engine.entry.startedAt, m_lease.token(), engine.version, loadedModels(engine)};
}

std::vector<engine_update> engine_controller::newsSince(std::int64_t version) const
{
    std::vector<engine_update> news;
    for (const auto &[id, engine] : m_ledger.engines()) {
        if (engine.version > version) {
            news.push_back(newsOf(id, engine));
        }
    }
    return news;
}

std::vector<engine_update> engine_controller::holders(const requested_item &item) const
{
    std::vector<engine_update> news;
    for (const auto &[id, engine] : m_ledger.engines()) {
        const auto model = engine.models.find(item.model);
        if (engine.entry.service != item.service || engine.entry.draining || model == engine.models.end() || model->second.state != item_state::loaded) {
            continue;
        }
        const auto adapter = model->second.adapters.find(item.adapter);
        if (item.adapter.empty() || (adapter != model->second.adapters.end() && adapter->second.state == item_state::loaded)) {
            news.push_back(newsOf(id, engine));
        }
    }
    return news;
}

asio::awaitable<bool> engine_controller::ensureLoaded(requested_item item, base::time_point until)
{
    if (!item.adapter.empty()) {
        noteUse(poolName(item.service, item.model, item.adapter));
    }
    ++m_wanted[item].waiting;
    placeWanted(item);
    while (holders(item).empty() && m_lease.isHolder() && base::clock::now() < until) {
        co_await m_changed.wait(until);
    }
    if (--m_wanted[item].waiting == 0) {
        m_wanted.erase(item);
    }
    co_return !holders(item).empty();
}

void engine_controller::placeWanted(const requested_item &item)
{
    const service_rule *const service = findService(item.service);
    // A missing model is brought back by the planner.
    if (!service || !service->engine || item.adapter.empty() || !m_lease.mayCommand()) {
        return;
    }
    for (const auto &[id, engine] : m_ledger.engines()) {
        const auto model = engine.models.find(item.model);
        if (engine.entry.service == item.service && !engine.entry.draining && model != engine.models.end() && model->second.adapters.contains(item.adapter)) {
            return;
        }
    }
    const std::optional<adapter_place> place = placeAdapter(m_ledger, *service, item.model);
    if (!place) {
        return;
    }
    if (place->victim) {
        const auto &[model, adapter] = *place->victim;
        const auto wanted = m_wanted.find(item);
        const base::time_point now = base::clock::now();
        if (wanted == m_wanted.end() || now < wanted->second.roomMadeAt + roomPatience) {
            return;
        }
        wanted->second.roomMadeAt = now;
        if (!m_ledger.startUnload(place->engine, model, adapter)) {
            return;
        }
        m_driver.enqueue(place->engine, {engine_action::unload, model, adapter, base::milliseconds(0), "makes room for " + item.model + '/' + item.adapter});
        return;
    }
    if (m_ledger.startLoad(place->engine, *service->engine, item.model, item.adapter)) {
        m_driver.enqueue(place->engine, {engine_action::load, item.model, item.adapter, adapterLoadTime, "a request needs it"});
    }
}

} // namespace chervilbend::fleet
