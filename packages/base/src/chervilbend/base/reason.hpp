#pragma once

#include <chervilbend/base/error_kind.hpp>

#include <string>

namespace chervilbend::base
{

/// Why a function returned no value.
struct reason {
    error_kind kind = error_kind::internal;
    /// One short sentence without a full stop.
    std::string text;
};

} // namespace chervilbend::base
