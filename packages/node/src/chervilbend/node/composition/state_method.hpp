#pragma once

#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::state
{
class replicated_state;
} // namespace chervilbend::state

namespace chervilbend::node
{

/// RPC method that returns the replicated state of a stream to a node that starts while the log service is unavailable.
class state_method : public peers::rpc_method
{
public:
    static constexpr const char *methodName = "state";

    /// Both references must outlive the method.
    state_method(const state::replicated_state &control, const state::replicated_state &orders);

    std::string name() const override;

    /// Parameter: stream, "control" or "orders". Result: the dump of the state as a string. Fails with badRequest for another stream.
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const state::replicated_state &m_control;
    const state::replicated_state &m_orders;
};

} // namespace chervilbend::node
