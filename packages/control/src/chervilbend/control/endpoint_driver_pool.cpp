#include <chervilbend/control/endpoint_driver_pool.hpp>

#include <chervilbend/control/lease_manager.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace chervilbend::control
{

namespace
{

/// Adapters load within milliseconds and models within seconds; the log delivers the entries of a move within tens of milliseconds.
constexpr base::milliseconds roundInterval{500};

} // namespace

endpoint_driver_pool::endpoint_driver_pool(const state::replicated_state &state, lease_manager &leases, external::engine_control &engines, entry_sink &sink)
    : m_state(state)
    , m_leases(leases)
    , m_engines(engines)
    , m_sink(sink)
{
}

boost::asio::awaitable<void> endpoint_driver_pool::run()
{
    const auto executor = co_await boost::asio::this_coro::executor;
    while (true) {
        for (const auto &[endpoint, view] : m_state.endpoints()) {
            if (!m_leases.isRecordedHolder(state::endpointLease(endpoint))) {
                continue;
            }
            std::shared_ptr<slot> &driverSlot = m_slots[endpoint];
            if (!driverSlot) {
                driverSlot = std::make_shared<slot>();
                driverSlot->driver = std::make_shared<endpoint_driver>(endpoint, m_state, m_leases, m_engines, m_loadCommands, m_sink);
            }
            if (!driverSlot->busy) {
                driverSlot->busy = true;
                boost::asio::co_spawn(executor, runRound(driverSlot), boost::asio::detached);
            }
        }
        std::erase_if(m_slots, [this](const auto &entry) { return !entry.second->busy && !m_state.endpoints().contains(entry.first); });
        co_await net::sleepFor(roundInterval);
    }
}

boost::asio::awaitable<void> endpoint_driver_pool::runRound(std::shared_ptr<slot> driverSlot)
{
    co_await driverSlot->driver->reconcile();
    driverSlot->busy = false;
}

bool endpoint_driver_pool::hasOutstandingLoadsWithoutLease() const
{
    return m_loadCommands.hasOutstanding([this](const base::endpoint_id &endpoint) {
        const auto view = m_state.endpoints().find(endpoint);
        const bool checksFencing = view != m_state.endpoints().end() && view->second.checksFencing;
        return !checksFencing && !m_leases.holds(state::endpointLease(endpoint));
    });
}

} // namespace chervilbend::control
