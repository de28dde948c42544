#pragma once

#include <chervilbend/base/work_class.hpp>

#include <optional>
#include <string_view>

namespace chervilbend::config
{

/// "urgent", "normal" or "batch".
std::string_view nameOf(base::work_class urgency);

std::optional<base::work_class> parseWorkClass(std::string_view name);

} // namespace chervilbend::config
