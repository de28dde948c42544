#pragma once

#include <string_view>

namespace chervilbend::node
{

/// On what ground an attempt is taken for one that has not run the request.
enum class run_evidence {
    /// None: the attempt may have run it.
    none,
    /// No byte of the request was sent.
    notSent,
    /// A refusal that names the attempt.
    namedRefusal,
    /// A refusal that names no attempt.
    unnamedRefusal,
};

/// As log lines and metrics have it.
std::string_view toString(run_evidence evidence);

} // namespace chervilbend::node
