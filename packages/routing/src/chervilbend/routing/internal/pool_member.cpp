#include <chervilbend/routing/internal/pool_member.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>

namespace chervilbend::routing
{

bool pool_member::isDown() const
{
    return endpoint->isDown || isAvoided;
}

bool pool_member::isUsable() const
{
    return !endpoint->isLeaving() && !isDown() && !ejected;
}

} // namespace chervilbend::routing
