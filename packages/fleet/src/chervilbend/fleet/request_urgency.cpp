#include <chervilbend/fleet/request_urgency.hpp>

#include <chervilbend/fleet/account_rule.hpp>
#include <chervilbend/fleet/route_rule.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

namespace
{

constexpr int lowestUrgencyLevel = 9;
/// Levels of an account priority, one for each priority of its routes.
constexpr int levelsPerAccountPriority = base::workClassCount;
/// An account of this priority leaves the class of its requests as the route has it.
constexpr int ordinaryAccountPriority = 1;

base::work_class classAt(int rank)
{
    return static_cast<base::work_class>(std::clamp(rank, 0, base::workClassCount - 1));
}

} // namespace

request_urgency urgencyOf(const account_rule *account, const route_rule &route)
{
    if (!account || !account->priority) {
        return {std::clamp(route.priority, 0, lowestUrgencyLevel), classAt(route.priority)};
    }
    // Bounded before they are added: operators may give any integer.
    const int accountPriority = std::clamp(*account->priority, 0, lowestUrgencyLevel);
    const int routeRank = std::clamp(route.priority, 0, levelsPerAccountPriority - 1);
    const int shift = std::min(accountPriority, ordinaryAccountPriority + 1) - ordinaryAccountPriority;
    return {std::min(accountPriority * levelsPerAccountPriority + routeRank, lowestUrgencyLevel), classAt(routeRank + shift)};
}

} // namespace chervilbend::fleet
