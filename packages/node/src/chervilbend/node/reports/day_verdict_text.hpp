#pragma once

namespace chervilbend::node
{

struct day_report;

/// Sets the report's verdict and first line from its other members.
///
/// The verdict is "well" if each service and class reached its goal (urgent 99%, normal 95%, batch 90% of requests within their deadline)
/// even under the worst assumption for missing minutes, no order has an unknown outcome, and no declared model was without a loaded copy.
/// It is "notWell" if one of these conditions certainly failed, and otherwise, or if no requests were counted, "notKnown".
void determineVerdict(day_report &report);

} // namespace chervilbend::node
