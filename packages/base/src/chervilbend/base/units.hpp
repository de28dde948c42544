#pragma once

#include <chervilbend/base/strong_unit.hpp>

namespace chervilbend::base
{

/// Memory or transfer size in bytes.
using byte_count = strong_unit<struct byte_count_tag>;
/// Number of prompt or generated tokens.
using token_count = strong_unit<struct token_count_tag>;
/// Position of a record in the log service, from 1; 0 means none. Also serves as the fencing token of leases.
using log_offset = strong_unit<struct log_offset_tag>;
/// Identifies one run of a node's process; increases with every restart.
using incarnation = strong_unit<struct incarnation_tag>;

} // namespace chervilbend::base
