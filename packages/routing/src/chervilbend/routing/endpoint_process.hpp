#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>

namespace chervilbend::routing
{

/// One process of an endpoint: an endpoint may start again under the id that it had.
struct endpoint_process {
    base::endpoint_id endpoint;
    /// Distinguishes successive processes of the endpoint; 0 if it is not known.
    std::int64_t startedAt = 0;

    friend auto operator<=>(const endpoint_process &, const endpoint_process &) = default;
};

} // namespace chervilbend::routing
