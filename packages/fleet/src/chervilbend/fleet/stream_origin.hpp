#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>

namespace chervilbend::fleet
{

/// The software version that began a stream.
struct stream_origin {
    /// Hash of the ID of the caller's attempt that brought the first event.
    std::uint64_t stream = 0;
    base::service_id service;
    base::software_version version;

    friend bool operator==(const stream_origin &, const stream_origin &) = default;
};

} // namespace chervilbend::fleet
