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

const char *nameOf(endpoint_step::kind step)
{
    switch (step) {
    case endpoint_step::kind::sendLoad:
        return "Loads ";
    case endpoint_step::kind::sendUnload:
        return "Unloads ";
    case endpoint_step::kind::appendLoaded:
        return "Records as loaded: ";
    case endpoint_step::kind::appendLost:
        return "Records as lost: ";
    case endpoint_step::kind::appendReleased:
        return "Releases ";
    case endpoint_step::kind::renewToken:
        break;
    }
    return "Renews the token because of ";
}

} // namespace

endpoint_driver::endpoint_driver(base::endpoint_id endpoint,
                                 const state::replicated_state &state,
                                 lease_manager &leases,
                                 external::engine_control &engines,
                                 load_command_tracker &ledger,
                                 entry_sink &sink)
    : m_endpoint(endpoint)
    , m_lease(state::endpointLease(endpoint))
    , m_state(state)
    , m_leases(leases)
    , m_engines(engines)
    , m_ledger(ledger)
    , m_sink(sink)
    , m_reconciler(std::move(endpoint), ledger)
{
}

const state::endpoint_view *endpoint_driver::view() const
{
    const auto entry = m_state.endpoints().find(m_endpoint);
    return entry == m_state.endpoints().end() ? nullptr : &entry->second;
}

const state::residency_view *endpoint_driver::resident(const base::item_id &item) const
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
    return endpoint && (m_leases.holds(m_lease) || (endpoint->checksFencing && m_leases.mayDrive(m_lease)));
}

boost::asio::awaitable<void> endpoint_driver::drive()
{
    if (!mayCommand()) {
        co_return;
    }
    const std::optional<net::address> engine = net::parseAddress(view()->address);
    if (!engine) {
        co_return;
    }
    const base::log_offset token = m_leases.token(m_lease);
    if (m_heldWith != token) {
        // With another token, another owner may have come in between.
        m_heldWith = token;
        m_heldSince = base::clock::now();
    }
    if (view()->checksFencing && m_fencedWith != token) {
        co_await sendCommand(*engine, external::engine_action::fence, base::item_id(), base::byte_count(0));
    }
    const base::time_point asked = base::clock::now();
    const std::optional<external::engine_report> report = co_await m_engines.report(*engine);
    if (!report) {
        if (!std::exchange(m_unreachable, true)) {
            LOG4CXX_WARN(logger, "Engine " << m_endpoint << " does not report: " << m_engines.lastReason().text << '.');
        }
        co_return;
    }
    m_unreachable = false;
    if (!mayCommand() || !isFenced(*report)) {
        co_return;
    }
    const base::time_point moment = asked - report->lag;
    for (const external::resident_item &item : report->items) {
        m_ledger.seen(m_endpoint, item.item, moment);
    }
    const std::vector<endpoint_step> steps = m_reconciler.steps(*view(), *report, moment, m_heldSince);
    for (const endpoint_step &step : steps) {
        co_await carryOut(*engine, step);
    }
}

bool endpoint_driver::isFenced(const external::engine_report &report)
{
    if (!view()->checksFencing) {
        return true;
    }
    const base::log_offset token = m_leases.token(m_lease);
    if (report.fencingToken != token) {
        // Also after a restart of the engine, which forgets its tokens.
        m_fencedWith = base::log_offset(0);
        return false;
    }
    if (m_fencedWith != token) {
        m_fencedWith = token;
        // A restarted engine is fenced again with the same token, which voids no command that carries it.
        if (m_voidedBelow != token) {
            m_voidedBelow = token;
            m_ledger.clear(m_endpoint);
        }
    }
    return true;
}

boost::asio::awaitable<void> endpoint_driver::carryOut(net::address engine, endpoint_step step)
{
    if (!mayCommand()) {
        co_return;
    }
    const state::residency_view *item = resident(step.item);
    const base::log_offset token = m_leases.token(m_lease);
    const bool canAppend = m_leases.holds(m_lease);
    const bool isAppend = step.what != endpoint_step::kind::sendLoad && step.what != endpoint_step::kind::sendUnload;
    if (isAppend && !canAppend) {
        co_return;
    }
    LOG4CXX_INFO(logger, nameOf(step.what) << step.item << " at " << m_endpoint << ": " << step.reason << '.');
    switch (step.what) {
    case endpoint_step::kind::sendLoad:
        // The fold may have moved on while earlier commands were sent.
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
        m_ledger.sending(m_endpoint, item);
    }
    const external::command_status status = co_await m_engines.send(engine, command);
    if (isLoad) {
        m_ledger.sent(m_endpoint, item, status);
    }
    if (status == external::command_status::refused) {
        LOG4CXX_WARN(logger, "Engine " << m_endpoint << " refused a command: " << m_engines.lastReason().text << '.');
    }
}

} // namespace chervilbend::control
