#pragma once

#include <chervilbend/base/strong_unit.hpp>

namespace chervilbend::base
{

/// Memory or transfer size in bytes.
using byte_count = strong_unit<struct byte_count_tag>;
/// Prompt or generated tokens.
using token_count = strong_unit<struct token_count_tag>;
/// Position of a record in the log service, from 1 upwards; 0 stands for none. Doubles as fencing number of leases.
using log_offset = strong_unit<struct log_offset_tag>;
/// One life of a node's process: greater than those of its earlier lives.
using incarnation = strong_unit<struct incarnation_tag>;

} // namespace chervilbend::base
