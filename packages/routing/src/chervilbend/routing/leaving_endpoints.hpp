#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_process.hpp>

#include <functional>
#include <map>
#include <vector>

namespace chervilbend::routing
{

/// Endpoints that have said in an answer, to this node or another one, that they are about to stop. A process that has said so does not take it back.
class leaving_endpoints
{
public:
    /// Commands.

    void note(const endpoint_process &process);
    /// The listener is called with each process that is noted for the first time.
    void onNote(std::function<void(const endpoint_process &)> listener);

    /// Queries.

    bool contains(const endpoint_process &process) const
    {
        return m_notedAt.contains(process);
    }

    /// The processes that were noted recently, for the other nodes.
    std::vector<endpoint_process> recent() const;

private:
    std::map<endpoint_process, base::time_point> m_notedAt;
    std::function<void(const endpoint_process &)> m_listener;
};

} // namespace chervilbend::routing
