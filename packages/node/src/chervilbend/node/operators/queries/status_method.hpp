#pragma once

#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::queries
{

/// "status": services with versions, leases, endpoints with memory and items, nodes, and whether the log is reachable.
///
/// Parameters: declarations (true adds the declarations in force).
class status_method : public peers::rpc_method
{
public:
    /// The view must outlive the method.
    explicit status_method(const operator_view &view);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const operator_view &m_view;
};

} // namespace chervilbend::node::queries
