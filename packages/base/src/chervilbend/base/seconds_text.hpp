#pragma once

#include <chervilbend/base/clock.hpp>

#include <string>

namespace chervilbend::base
{

/// The duration in seconds with @p decimals decimals and without a unit: "1.250".
std::string secondsText(milliseconds duration, int decimals = 3);

} // namespace chervilbend::base
