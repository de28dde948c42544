#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::external
{

enum class engine_action {
    load,
    unload,
    /// Changes nothing but the highest fencing token seen.
    fence,
};

/// A command to an engine. Loading what is loaded and unloading what is not have no effect.
struct engine_command {
    engine_action action = engine_action::load;
    base::item_id item;
    base::byte_count bytes;
    /// Offset of the sender's lease record.
    base::log_offset fencingToken;
};

enum class command_status {
    /// The engine took the command; a load goes on after that.
    accepted,
    /// The engine refused it, for example for an old fencing token.
    refused,
    /// It certainly did not reach the engine.
    notSent,
    /// No answer: the command may arrive, even later.
    unknown,
};

} // namespace chervilbend::external
