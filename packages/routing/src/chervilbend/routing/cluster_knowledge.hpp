#pragma once

#include <chervilbend/routing/account_quotas.hpp>
#include <chervilbend/routing/endpoint_rate_limits.hpp>
#include <chervilbend/routing/helper_nodes.hpp>
#include <chervilbend/routing/leaving_endpoints.hpp>
#include <chervilbend/routing/prompt_part_tracker.hpp>
#include <chervilbend/routing/unreachable_endpoints.hpp>
#include <chervilbend/routing/unreachable_reports.hpp>

#include <memory>

namespace chervilbend::routing
{

/// What the nodes tell each other, shared between a director, which acts on it, and the tasks that exchange it.
struct cluster_knowledge {
    std::shared_ptr<prompt_part_tracker> promptParts = std::make_shared<prompt_part_tracker>();
    std::shared_ptr<endpoint_rate_limits> rateLimits = std::make_shared<endpoint_rate_limits>();
    std::shared_ptr<account_quotas> quotas = std::make_shared<account_quotas>();
    std::shared_ptr<helper_nodes> helpers = std::make_shared<helper_nodes>();
    std::shared_ptr<leaving_endpoints> leaving = std::make_shared<leaving_endpoints>();
    std::shared_ptr<unreachable_endpoints> unreachable = std::make_shared<unreachable_endpoints>();
    /// What the nodes have reported to this one as lease holder.
    std::shared_ptr<unreachable_reports> unreachableReports = std::make_shared<unreachable_reports>();
};

} // namespace chervilbend::routing
