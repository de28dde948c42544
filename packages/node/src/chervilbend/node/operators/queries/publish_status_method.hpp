#pragma once

#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::queries
{

/// "publishStatus": what became of a publish, as far as this node knows.
///
/// Parameters: publishId. Result: state ("accepted", "rejected" or "unknown"), version, why, inForceHere, supersededBy (version, when
/// another is in force by now); of a rejected one winner (version, author, publishId) and differs (what it would have changed there); folded
/// and logReachable, which tell what "unknown" is worth.
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
