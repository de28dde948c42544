#include <chervilbend/routing/internal/request_state.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <utility>

namespace chervilbend::routing
{

dispatch dispatchOf(const request_state &request, std::string why)
{
    const endpoint_facts &facts = request.endpoint->facts;
    return {request.id, facts.endpoint, std::move(why), facts.softwareVersion};
}

} // namespace chervilbend::routing
