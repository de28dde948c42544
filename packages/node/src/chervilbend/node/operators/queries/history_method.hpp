#pragma once

#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::queries
{

/// "history": the retained publishes of a service, newest first, each with its changes.
///
/// Parameters: service.
class history_method : public peers::rpc_method
{
public:
    /// The view must outlive the method.
    explicit history_method(const operator_view &view);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const operator_view &m_view;
};

} // namespace chervilbend::node::queries
