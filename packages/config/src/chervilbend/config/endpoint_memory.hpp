#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::config
{

/// What the check of memory needs to know of an endpoint.
struct endpoint_memory {
    base::endpoint_id endpoint;
    base::zone_id zone;
    base::byte_count memory;
};

} // namespace chervilbend::config
