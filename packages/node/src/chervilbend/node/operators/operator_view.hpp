#pragma once

#include <chervilbend/node/operators/known_node.hpp>
#include <chervilbend/node/operators/log_status.hpp>
#include <chervilbend/node/operators/publish_record.hpp>
#include <chervilbend/state/views.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::node
{

/// Read access to a node for the operators' RPC methods.
class operator_view
{
public:
    virtual ~operator_view() = default;

    /// Replicated state.

    virtual base::log_offset appliedOffset() const = 0;
    virtual const std::map<base::service_id, state::service_view> &services() const = 0;
    virtual const std::map<base::lease_name, state::lease_view> &leases() const = 0;
    virtual const std::map<base::endpoint_id, state::endpoint_view> &endpoints() const = 0;
    /// The publish with this id, accepted or rejected; no value if it has not been applied or is no longer retained.
    virtual std::optional<publish_record> findPublish(const std::string &publishId) const = 0;
    /// The retained publishes of a service, oldest first.
    virtual std::vector<publish_record> publishes(const base::service_id &service) const = 0;

    /// The last accepted publish of each withdrawn service, if it is still retained.
    virtual std::vector<publish_record> withdrawals() const = 0;

    /// This node.

    virtual base::node_id self() const = 0;
    virtual log_status log() const = 0;
    virtual std::vector<known_node> nodes() const = 0;
};

} // namespace chervilbend::node
