#pragma once

#include <chervilbend/external/engine_control.hpp>
#include <chervilbend/fakes/engine_faults.hpp>
#include <chervilbend/fakes/engine_model.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace chervilbend::fakes
{

/// Gives a node access to engine models in the same process, with the faults of an unreliable network.
class in_process_engine_control : public external::engine_control
{
public:
    explicit in_process_engine_control(std::uint64_t seed = 1);

    void add(const net::address &address, std::shared_ptr<engine_model> engine);
    /// Sets the faults for engines that have none of their own.
    void setFaults(const engine_faults &faults);
    /// Sets the faults for one engine, in place of the common ones.
    void setFaults(const net::address &address, const engine_faults &faults);

    /// As send(), but without delays, for simulations without coroutines.
    external::command_status sendNow(const net::address &address, const external::engine_command &command);
    /// As report(), but without delays, for simulations without coroutines.
    std::optional<external::engine_report> reportNow(const net::address &address);

    boost::asio::awaitable<external::command_status> send(net::address engine, external::engine_command command) override;
    boost::asio::awaitable<std::optional<external::engine_report>> report(net::address engine) override;

private:
    const engine_faults &faultsFor(const net::address &address) const;
    /// The engine at @p address; nullptr, with lastReason() set, when it is unknown, stopped or unreachable.
    std::shared_ptr<engine_model> findReachable(const net::address &address);

    seeded_random m_random;
    engine_faults m_faults;
    std::map<net::address, engine_faults> m_engineFaults;
    std::map<net::address, std::shared_ptr<engine_model>> m_engines;
};

} // namespace chervilbend::fakes
