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

/// One node's access to the engine models of the same process, over an unreliable network.
class in_process_engine_control : public external::engine_control
{
public:
    explicit in_process_engine_control(std::uint64_t seed = 1);

    void add(const net::address &where, std::shared_ptr<engine_model> engine);
    /// Sets the faults on the way to all engines.
    void setFaults(const engine_faults &faults);
    /// Sets the faults on the way to one engine, in place of the common ones.
    void setFaults(const net::address &where, const engine_faults &faults);

    /// send() without the waiting, for simulations without tasks.
    external::command_status sendNow(const net::address &where, const external::engine_command &command);
    /// report() without the waiting, for simulations without tasks.
    std::optional<external::engine_report> reportNow(const net::address &where);

    boost::asio::awaitable<external::command_status> send(net::address engine, external::engine_command command) override;
    boost::asio::awaitable<std::optional<external::engine_report>> report(net::address engine) override;

private:
    const engine_faults &faultsAt(const net::address &where) const;
    /// The engine if it can be reached; nullptr with a last reason otherwise.
    std::shared_ptr<engine_model> reach(const net::address &where);

    seeded_random m_random;
    engine_faults m_faults;
    std::map<net::address, engine_faults> m_faultsOfOne;
    std::map<net::address, std::shared_ptr<engine_model>> m_engines;
};

} // namespace chervilbend::fakes
