#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::config
{

/// The memory and zone of an endpoint, as input of fitIntoMemory().
struct endpoint_memory {
    base::endpoint_id endpoint;
    base::zone_id zone;
    base::byte_count memory;
};

} // namespace chervilbend::config
