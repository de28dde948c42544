#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <vector>

namespace chervilbend::external
{

/// An item in an engine's memory.
struct resident_item {
    base::item_id item;
    base::byte_count bytes;
    /// False while its weights are still being loaded.
    bool loaded = false;
};

/// An engine's report of its state. It describes the state as of @p lag ago.
struct engine_report {
    /// Changes with every start of the engine's process.
    base::incarnation incarnation;
    /// Highest fencing token that the engine has seen.
    base::log_offset fencingToken;
    std::vector<resident_item> items;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    base::milliseconds lag{0};
};

} // namespace chervilbend::external
