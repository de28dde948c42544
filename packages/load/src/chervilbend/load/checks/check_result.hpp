#pragma once

#include <string>
#include <vector>

namespace chervilbend::load
{

/// The result of a check.
struct check_result {
    enum class kind {
        held,
        breached,
        notExercised,
    };

    kind outcome = kind::notExercised;
    /// What was examined, for the result line.
    std::string scope;
    /// One message for each breach.
    std::vector<std::string> evidence;
};

} // namespace chervilbend::load
