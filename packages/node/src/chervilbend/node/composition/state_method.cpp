#include <chervilbend/node/composition/state_method.hpp>

#include <chervilbend/state/replicated_state.hpp>

namespace chervilbend::node
{

state_method::state_method(const state::replicated_state &control, const state::replicated_state &orders)
    : m_control(control)
    , m_orders(orders)
{
}

std::string state_method::name() const
{
    return methodName;
}

std::optional<Json::Value> state_method::call(const Json::Value &parameters)
{
    const Json::Value &stream = parameters["stream"];
    if (stream == "control") {
        return Json::Value(m_control.dump());
    }
    if (stream == "orders") {
        return Json::Value(m_orders.dump());
    }
    return fail(base::error_kind::badRequest, "parameter stream must be control or orders");
}

} // namespace chervilbend::node
