#pragma once

#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::queries
{

/// "publishStatus": the result of a publish, as far as this node knows it.
///
/// Parameters: publishId. Result: state ("accepted", "rejected" or "unknown"), version, why, inForceHere, supersededBy (the newer version
/// in force, if any); if rejected, winner (version, author, publishId) and differs (the changes that it would have made to the winner);
/// folded (offset of the last applied record) and logReachable, which show whether "unknown" may be due to a lagging node.
class publish_status_method : public peers::rpc_method
{
public:
    /// The view must outlive the method.
    explicit publish_status_method(const operator_view &view);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    void describeRejected(const publish_record &record, Json::Value &result) const;

    const operator_view &m_view;
};

} // namespace chervilbend::node::queries
