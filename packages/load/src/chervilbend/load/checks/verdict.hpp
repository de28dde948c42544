#pragma once

#include <string>
#include <vector>

namespace chervilbend::load
{

/// What a check found.
struct verdict {
    enum class kind {
        held,
        breached,
        notExercised,
    };

    kind what = kind::notExercised;
    /// What was looked at, for the line of the verdict.
    std::string scope;
    /// One sentence for each breach.
    std::vector<std::string> evidence;
};

} // namespace chervilbend::load
