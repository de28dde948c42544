#pragma once

#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::queries
{

/// "diff": the differences between two versions of a service.
///
/// Parameters: service, from and to (versions; default: the one in force and the accepted one before it). Result: from, to, lines.
class diff_method : public peers::rpc_method
{
public:
    /// The view must outlive the method.
    explicit diff_method(const operator_view &view);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const operator_view &m_view;
};

} // namespace chervilbend::node::queries
