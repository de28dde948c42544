#pragma once

#include <chervilbend/base/units.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::state
{

/// Maximum payload size of a checkpoint record, in bytes.
inline constexpr std::size_t maxCheckpointRecordBytes = 64 * 1024;

/// Splits a dump of a stream's state into the payloads of checkpoint records, in the order in which to append them. @p checkpointId must be
/// unique among all checkpoints.
std::vector<std::string> checkpointRecords(const std::string &stream, base::log_offset appliedOffset, std::string_view dump, const std::string &checkpointId);

} // namespace chervilbend::state
