#pragma once

#include <chervilbend/node/operators/declaration_cache.hpp>
#include <chervilbend/node/operators/node_info.hpp>
#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/state/replicated_state.hpp>

namespace chervilbend::node
{

/// The operators' view of a running node: its fold, the publishes that it has read, and its own facts.
class state_operator_view : public operator_view
{
public:
    /// All must outlive the view.
    state_operator_view(const state::replicated_state &state, const declaration_cache &archive, const node_info &facts);

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
    const declaration_cache &m_archive;
    const node_info &m_facts;
};

} // namespace chervilbend::node
