#include <chervilbend/fakes/in_process_engine_control.hpp>

#include <chervilbend/net/sleep.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

in_process_engine_control::in_process_engine_control(std::uint64_t seed)
    : m_random(seed)
{
}

void in_process_engine_control::add(const net::address &address, std::shared_ptr<engine_model> engine)
{
    m_engines[address] = std::move(engine);
}

void in_process_engine_control::setFaults(const engine_faults &faults)
{
    m_faults = faults;
}

void in_process_engine_control::setFaults(const net::address &address, const engine_faults &faults)
{
    m_engineFaults[address] = faults;
}

external::command_status in_process_engine_control::sendNow(const net::address &address, const external::engine_command &command)
{
    const std::shared_ptr<engine_model> engine = findReachable(address);
    if (!engine) {
        return external::command_status::notSent;
    }
    const engine_faults &faults = faultsFor(address);
    if (m_random.chance(faults.lostCommands)) {
        fail(base::error_kind::endpointFailed, "no response to an engine command");
        return external::command_status::unknown;
    }
    const base::milliseconds lateBy(m_random.between(0, faults.lateBy.count()));
    if (m_random.chance(faults.lateCommands)) {
        engine->applyLater(command, faults.answerTimeout + lateBy);
        fail(base::error_kind::endpointFailed, "no response to an engine command");
        return external::command_status::unknown;
    }
    const external::command_status status = engine->apply(command);
    if (m_random.chance(faults.duplicates)) {
        engine->applyLater(command, lateBy);
    }
    if (m_random.chance(faults.lostAnswers)) {
        fail(base::error_kind::endpointFailed, "no response to an engine command");
        return external::command_status::unknown;
    }
    if (status == external::command_status::refused) {
        fail(base::error_kind::endpointFailed, "the engine refused the command because of an outdated fencing token");
    }
    return status;
}

std::optional<external::engine_report> in_process_engine_control::reportNow(const net::address &address)
{
    const std::shared_ptr<engine_model> engine = findReachable(address);
    if (!engine) {
        return std::nullopt;
    }
    return engine->report();
}

asio::awaitable<external::command_status> in_process_engine_control::send(net::address engine, external::engine_command command)
{
    if (faultsFor(engine).delay.count() > 0) {
        co_await net::sleepFor(faultsFor(engine).delay);
    }
    const external::command_status status = sendNow(engine, command);
    const base::reason reason = lastReason();
    if (status == external::command_status::unknown) {
        co_await net::sleepFor(faultsFor(engine).answerTimeout);
        fail(reason);
    }
    co_return status;
}

asio::awaitable<std::optional<external::engine_report>> in_process_engine_control::report(net::address engine)
{
    if (faultsFor(engine).delay.count() > 0) {
        co_await net::sleepFor(faultsFor(engine).delay);
    }
    co_return reportNow(engine);
}

const engine_faults &in_process_engine_control::faultsFor(const net::address &address) const
{
    const auto found = m_engineFaults.find(address);
    return found == m_engineFaults.end() ? m_faults : found->second;
}

std::shared_ptr<engine_model> in_process_engine_control::findReachable(const net::address &address)
{
    const auto found = m_engines.find(address);
    if (found == m_engines.end() || !found->second->isRunning() || faultsFor(address).unreachable) {
        fail(base::error_kind::endpointRefused, "cannot connect to " + net::toString(address));
        return nullptr;
    }
    return found->second;
}

} // namespace chervilbend::fakes
