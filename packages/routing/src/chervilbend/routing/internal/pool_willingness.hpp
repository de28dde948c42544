#pragma once

namespace chervilbend::routing
{

/// Whether the endpoints of a pool that are in use would take another request.
enum class pool_willingness {
    /// Some endpoint takes requests, now or when one of its present ones has ended.
    open,
    /// The endpoints that could take a request now allow only a limited rate, of which this node has no grant left.
    rateLimited,
    /// All have asked this node for a pause.
    paused,
};

} // namespace chervilbend::routing
