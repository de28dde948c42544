#pragma once

#include <chervilbend/membership/crash_suspicion.hpp>
#include <chervilbend/membership/member.hpp>

#include <vector>

namespace chervilbend::membership
{

/// The membership updates that are piggybacked on a probe and on its answer.
struct gossip {
    /// The state of the sender as announced by itself.
    member sender;
    /// Each list has at most member_table_settings::updatesPerMessage elements.
    std::vector<member> updates;
    std::vector<crash_suspicion> crashSuspicions;
};

} // namespace chervilbend::membership
