#include <chervilbend/fleet/request_cost.hpp>

#include <chervilbend/fleet/account_rule.hpp>
#include <chervilbend/fleet/caller_request.hpp>

namespace chervilbend::fleet
{

double costOf(const caller_request &caller, const quota_rule &quota)
{
    if (quota.unit == quota_unit::requests) {
        return 1;
    }
    return caller.hasTokenCounts ? static_cast<double>(caller.promptTokens.count()) + static_cast<double>(caller.maxTokens.count()) : quota.plainTokens;
}

} // namespace chervilbend::fleet
