#pragma once

#include <chervilbend/node/operators/declaration_cache.hpp>
#include <chervilbend/node/operators/node_info.hpp>
#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/state/replicated_state.hpp>

namespace chervilbend::node
{

/// Operator view of a running node: its replicated state, the declarations that it has read, and information about the node itself.
class state_operator_view : public operator_view
{
public:
    /// All references must outlive the view.
    state_operator_view(const state::replicated_state &state, const declaration_cache &declarationCache, const node_info &nodeInfo);

    base::log_offset appliedOffset() const override;
    const std::map<base::service_id, state::service_view> &services() const override;
    const std::map<base::lease_name, state::lease_view> &leases() const override;
    const std::map<base::endpoint_id, state::endpoint_view> &endpoints() const override;
    std::optional<publish_record> findPublish(const std::string &publishId) const override;
    std::vector<publish_record> publishes(const base::service_id &service) const override;
    std::vector<publish_record> withdrawals() const override;
    base::node_id self() const override;
    log_status log() const override;
    std::vector<known_node> nodes() const override;

private:
    publish_record recordOf(const state::publish_view &publish, const state::publish_view *inForce) const;

    const state::replicated_state &m_state;
    const declaration_cache &m_declarationCache;
    const node_info &m_nodeInfo;
};

} // namespace chervilbend::node
