#pragma once

#include <chervilbend/base/work_class.hpp>

namespace chervilbend::fleet
{

struct account_rule;
struct route_rule;

/// How urgent a request is to engines and in the queues of a node: the account's priority goes before the route's.
struct request_urgency {
    /// For engines; 0 is the most urgent.
    int level = 0;
    base::work_class queueClass = base::work_class::normal;
};

/// @p account may be nullptr; the route's priority decides alone then, as for an account without a priority.
request_urgency urgencyOf(const account_rule *account, const route_rule &route);

} // namespace chervilbend::fleet
