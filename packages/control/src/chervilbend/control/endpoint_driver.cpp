#include <chervilbend/control/endpoint_driver.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/lease_manager.hpp>

#include <utility>
#include <vector>

namespace chervilbend::control
{

namespace
{

const auto logger = base::partLogger("place");

const char *logPrefixOf(endpoint_step::kind step)
{
    switch (step) {
    case endpoint_step::kind::sendLoad:
        return "Loading ";
    case endpoint_step::kind::sendUnload:
        return "Unloading ";
    case endpoint_step::kind::appendLoaded:
        return "Recording as loaded: ";
    case endpoint_step::kind::appendLost:
        return "Recording as lost: ";
    case endpoint_step::kind::appendReleased:
        return "Releasing ";
    case endpoint_step::kind::renewToken:
        break;
    }
    return "Renewing the fencing token for ";
}

} // namespace

endpoint_driver::endpoint_driver(base::endpoint_id endpoint,
                                 const state::replicated_state &state,
                                 lease_manager &leases,
                                 external::engine_control &engines,
                                 load_command_tracker &loadCommands,
                                 entry_sink &sink)
    : m_endpoint(endpoint)
    , m_lease(state::endpointLease(endpoint))
    , m_state(state)
    , m_leases(leases)
    , m_engines(engines)
    , m_loadCommands(loadCommands)
    , m_sink(sink)
    , m_reconciler(std::move(endpoint), loadCommands)
{
}

const state::endpoint_view *endpoint_driver::view() const
{
    const auto entry = m_state.endpoints().find(m_endpoint);
    return entry == m_state.endpoints().end() ? nullptr : &entry->second;
}

const state::residency_view *endpoint_driver::findResidency(const base::item_id &item) const
{
    const state::endpoint_view *endpoint = view();
    if (!endpoint) {
        return nullptr;
    }
    const auto entry = endpoint->items.find(item);
    return entry == endpoint->items.end() ? nullptr : &entry->second;
}

bool endpoint_driver::mayCommand() const
{
    const state::endpoint_view *endpoint = view();
    return endpoint && (m_leases.holds(m_lease) || (endpoint->checksFencing && m_leases.mayCommandFencedEngine(m_lease)));
}

boost::asio::awaitable<void> endpoint_driver::reconcile()
{
    if (!mayCommand()) {
        co_return;
    }
    const std::optional<net::address> engine = net::parseAddress(view()->address);
    if (!engine) {
        co_return;
    }
    const base::log_offset token = m_leases.token(m_lease);
    if (m_heldToken != token) {
        // A different token means that another node may have owned the endpoint in between.
        m_heldToken = token;
        m_heldSince = base::clock::now();
    }
    if (view()->checksFencing && m_fencedToken != token) {
        co_await sendCommand(*engine, external::engine_action::fence, base::item_id(), base::byte_count(0));
    }
    const base::time_point requestedAt = base::clock::now();
    const std::optional<external::engine_report> report = co_await m_engines.report(*engine);
    if (!report) {
        if (!std::exchange(m_unreachable, true)) {
            LOG4CXX_WARN(logger, "No report from engine " << m_endpoint << ": " << m_engines.lastReason().text << '.');
        }
        co_return;
    }
    m_unreachable = false;
    if (!mayCommand() || !isFenced(*report)) {
        co_return;
    }
    const base::time_point reportTime = requestedAt - report->lag;
    for (const external::resident_item &item : report->items) {
        m_loadCommands.recordReported(m_endpoint, item.item, reportTime);
    }
    const std::vector<endpoint_step> steps = m_reconciler.steps(*view(), *report, reportTime, m_heldSince);
    for (const endpoint_step &step : steps) {
        co_await execute(*engine, step);
    }
}

bool endpoint_driver::isFenced(const external::engine_report &report)
{
    if (!view()->checksFencing) {
        return true;
    }
    const base::log_offset token = m_leases.token(m_lease);
    if (report.fencingToken != token) {
        // This also happens when the engine has restarted, because it does not persist its token.
        m_fencedToken = base::log_offset(0);
        return false;
    }
    if (m_fencedToken != token) {
        m_fencedToken = token;
        // A restarted engine is fenced again with the same token, which does not invalidate commands that carry this token.
        if (m_invalidatedBelow != token) {
            m_invalidatedBelow = token;
            m_loadCommands.clear(m_endpoint);
        }
    }
    return true;
}

boost::asio::awaitable<void> endpoint_driver::execute(net::address engine, endpoint_step step)
{
    if (!mayCommand()) {
        co_return;
    }
    const state::residency_view *item = findResidency(step.item);
    const base::log_offset token = m_leases.token(m_lease);
    const bool canAppend = m_leases.holds(m_lease);
    const bool isAppend = step.action != endpoint_step::kind::sendLoad && step.action != endpoint_step::kind::sendUnload;
    if (isAppend && !canAppend) {
        co_return;
    }
    LOG4CXX_INFO(logger, logPrefixOf(step.action) << step.item << " at " << m_endpoint << ": " << step.reason << '.');
    switch (step.action) {
    case endpoint_step::kind::sendLoad:
        // The replicated state may have changed while earlier commands were sent.
        if (item && item->state != state::residency::dropping && token == m_leases.token(m_lease)) {
            co_await sendCommand(engine, external::engine_action::load, step.item, step.bytes);
        }
        break;
    case endpoint_step::kind::sendUnload:
        if (!item || item->state == state::residency::dropping) {
            co_await sendCommand(engine, external::engine_action::unload, step.item, step.bytes);
        }
        break;
    case endpoint_step::kind::appendLoaded:
        m_sink.append(state::loaded_entry{m_endpoint, step.item, token, false});
        break;
    case endpoint_step::kind::appendLost:
        m_sink.append(state::loaded_entry{m_endpoint, step.item, token, true});
        break;
    case endpoint_step::kind::appendReleased:
        m_sink.append(state::released_entry{m_endpoint, step.item, token});
        break;
    case endpoint_step::kind::renewToken:
        m_leases.renewToken(m_lease);
        break;
    }
}

boost::asio::awaitable<void> endpoint_driver::sendCommand(net::address engine, external::engine_action action, base::item_id item, base::byte_count bytes)
{
    external::engine_command command;
    command.action = action;
    command.item = item;
    command.bytes = bytes;
    command.fencingToken = m_leases.token(m_lease);
    const bool isLoad = action == external::engine_action::load;
    if (isLoad) {
        m_loadCommands.recordSending(m_endpoint, item);
    }
    const external::command_status status = co_await m_engines.send(engine, command);
    if (isLoad) {
        m_loadCommands.recordResult(m_endpoint, item, status);
    }
    if (status == external::command_status::refused) {
        LOG4CXX_WARN(logger, "Engine " << m_endpoint << " rejected a command: " << m_engines.lastReason().text << '.');
    }
}

} // namespace chervilbend::control
