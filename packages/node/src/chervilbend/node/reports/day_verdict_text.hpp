#pragma once

namespace chervilbend::node
{

struct day_report;

/// Sets the report's verdict and first line from its other members.
///
/// A day went well when each service and class reached its goal (urgent 99%, normal 95%, batch 90% of requests within their deadline),
/// even if the missing minutes went badly, no order's outcome is unknown, and no declared model was without a loaded copy. It did not go
/// well when one of these certainly failed. Otherwise it is not known.
void determineVerdict(day_report &report);

} // namespace chervilbend::node
