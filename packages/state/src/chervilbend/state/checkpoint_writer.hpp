#pragma once

#include <chervilbend/base/units.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::state
{

/// Largest payload of a checkpoint's record, in bytes.
inline constexpr std::size_t maxCheckpointRecordBytes = 64 * 1024;

/// The records, in order, that hold a dump of a stream's state. @p checkpointId must differ from those of other checkpoints.
std::vector<std::string> checkpointRecords(const std::string &stream, base::log_offset appliedOffset, std::string_view dump, const std::string &checkpointId);

} // namespace chervilbend::state
