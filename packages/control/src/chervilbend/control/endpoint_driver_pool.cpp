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

/// Adapters load in a few milliseconds and models in seconds; the log carries a move's entries in tens of milliseconds.
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
            if (!m_leases.isHolderInFold(state::endpointLease(endpoint))) {
                continue;
            }
            std::shared_ptr<slot> &owned = m_slots[endpoint];
            if (!owned) {
                owned = std::make_shared<slot>();
                owned->driver = std::make_shared<endpoint_driver>(endpoint, m_state, m_leases, m_engines, m_ledger, m_sink);
            }
            if (!owned->busy) {
                owned->busy = true;
                boost::asio::co_spawn(executor, driveOnce(owned), boost::asio::detached);
            }
        }
        std::erase_if(m_slots, [this](const auto &entry) { return !entry.second->busy && !m_state.endpoints().contains(entry.first); });
        co_await net::sleepFor(roundInterval);
    }
}

boost::asio::awaitable<void> endpoint_driver_pool::driveOnce(std::shared_ptr<slot> owned)
{
    co_await owned->driver->drive();
    owned->busy = false;
}

bool endpoint_driver_pool::hasOutstandingLoadsWithoutLease() const
{
    return m_ledger.hasOutstanding([this](const base::endpoint_id &endpoint) {
        const auto view = m_state.endpoints().find(endpoint);
        const bool checks = view != m_state.endpoints().end() && view->second.checksFencing;
        return !checks && !m_leases.holds(state::endpointLease(endpoint));
    });
}

} // namespace chervilbend::control
