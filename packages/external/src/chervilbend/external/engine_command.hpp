#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::external
{

enum class engine_action {
    load,
    unload,
    /// Only raises the highest fencing token that the engine has seen.
    fence,
};

/// A command to an engine. Loading an item that is loaded, or unloading one that is not, has no effect.
struct engine_command {
    engine_action action = engine_action::load;
    base::item_id item;
    base::byte_count bytes;
    /// Offset of the sender's lease record.
    base::log_offset fencingToken;
};

enum class command_status {
    /// The engine accepted the command; a load continues after that.
    accepted,
    /// The engine refused the command, for example because of an outdated fencing token.
    refused,
    /// The command was not sent.
    notSent,
    /// No answer: the command may have reached the engine, or may still reach it.
    unknown,
};

} // namespace chervilbend::external
