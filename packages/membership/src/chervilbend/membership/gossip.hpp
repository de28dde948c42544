#pragma once

#include <chervilbend/membership/crash_suspicion.hpp>
#include <chervilbend/membership/member.hpp>

#include <vector>

namespace chervilbend::membership
{

/// What a probe and its answer carry besides the question.
struct gossip {
    /// The sender, in its own words.
    member sender;
    /// At most member_table_settings::updatesPerMessage of each.
    std::vector<member> updates;
    std::vector<crash_suspicion> crashSuspicions;
};

} // namespace chervilbend::membership
