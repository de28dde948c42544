#pragma once

#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::state
{
class replicated_state;
} // namespace chervilbend::state

namespace chervilbend::node
{

/// Gives the folded state of a stream to a node that starts while the log is unavailable.
class state_method : public peers::rpc_method
{
public:
    static constexpr const char *methodName = "state";

    /// Both must outlive the method.
    state_method(const state::replicated_state &control, const state::replicated_state &orders);

    std::string name() const override;

    /// Parameter: stream, "control" or "orders". Result: the dump of the state.
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const state::replicated_state &m_control;
    const state::replicated_state &m_orders;
};

} // namespace chervilbend::node
