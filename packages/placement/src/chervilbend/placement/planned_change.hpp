#pragma once

#include <chervilbend/state/entries.hpp>

#include <string>

namespace chervilbend::placement
{

/// An assign or drop entry with the reason for it, a short phrase without a full stop.
struct planned_change {
    state::entry entry;
    std::string reason;
};

} // namespace chervilbend::placement
