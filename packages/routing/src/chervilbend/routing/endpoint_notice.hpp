#pragma once

#include <chervilbend/base/clock.hpp>

#include <optional>

namespace chervilbend::routing
{

/// What an endpoint says of itself in the header of an answer.
struct endpoint_notice {
    /// Requests per second that it takes from all nodes together; no value if it names no limit.
    std::optional<double> requestRate;
    /// It is about to stop and takes no new requests.
    bool isLeaving = false;
    /// It has refused the request and wants none from this node for so long; no value if it asks for no pause.
    std::optional<base::milliseconds> pause;
    /// It fails when it has to refuse more requests than this within a second, from all nodes together; no value if it does not say so.
    std::optional<double> toleratedRefusals;
    /// It has refused the request for want of room.
    bool isRefusal = false;
};

} // namespace chervilbend::routing
