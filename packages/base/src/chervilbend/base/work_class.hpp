#pragma once

namespace chervilbend::base
{

/// Urgency of a request, most urgent first.
enum class work_class {
    urgent,
    normal,
    batch,
};

/// Number of work classes.
inline constexpr int workClassCount = 3;

} // namespace chervilbend::base
