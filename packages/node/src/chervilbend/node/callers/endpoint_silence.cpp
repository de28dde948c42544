#include <chervilbend/node/callers/endpoint_silence.hpp>

#include <utility>

namespace chervilbend::node
{

namespace
{
/// A single response may be preempted for longer than any timeout.
constexpr int minOpenResponses = 2;
} // namespace

endpoint_silence::open_response::open_response(std::shared_ptr<endpoint_silence> silence, base::endpoint_id endpoint)
    : m_silence(std::move(silence))
    , m_endpoint(std::move(endpoint))
{
    endpoint_state &state = m_silence->m_endpoints[m_endpoint];
    ++state.openResponses;
    state.lastData = base::clock::now();
}

endpoint_silence::open_response::~open_response()
{
    const auto found = m_silence->m_endpoints.find(m_endpoint);
    if (--found->second.openResponses == 0) {
        m_silence->m_endpoints.erase(found);
    }
}

void endpoint_silence::open_response::received()
{
    m_silence->m_endpoints[m_endpoint].lastData = base::clock::now();
}

bool endpoint_silence::isSilent(const base::endpoint_id &endpoint, base::milliseconds timeout) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && found->second.openResponses >= minOpenResponses && base::clock::now() - found->second.lastData >= timeout;
}

} // namespace chervilbend::node
