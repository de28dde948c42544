#include <chervilbend/node/callers/endpoint_silence.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::node
{

namespace
{
/// A single response may be preempted for longer than any timeout.
constexpr std::size_t minOpenResponses = 2;
/// A pause may exceed the longest of the latest ones by half before the endpoint counts as silent, because the pauses of a busy endpoint vary.
constexpr int paceNumerator = 3;
constexpr int paceDenominator = 2;
/// Upper bound of the pauses that an endpoint's pace excuses. Callers abandon a stream after a pause of 2 s at the earliest; a quarter of a second is left for
/// another endpoint.
constexpr base::milliseconds maxExcusedPause{1'750};
} // namespace

endpoint_silence::open_response::open_response(std::shared_ptr<endpoint_silence> silence, base::endpoint_id endpoint, base::milliseconds firstWait)
    : m_silence(std::move(silence))
    , m_endpoint(std::move(endpoint))
    , m_firstWait(firstWait)
    , m_lastData(base::clock::now())
{
    endpoint_state &state = m_silence->m_endpoints[m_endpoint];
    state.openResponses.push_back(this);
    state.lastData = m_lastData;
}

endpoint_silence::open_response::~open_response()
{
    const auto found = m_silence->m_endpoints.find(m_endpoint);
    std::erase(found->second.openResponses, this);
    if (found->second.openResponses.empty()) {
        m_silence->m_endpoints.erase(found);
    }
}

void endpoint_silence::open_response::received()
{
    const base::time_point now = base::clock::now();
    m_pauses[m_pauseCount % rememberedPauses] = now - m_lastData;
    ++m_pauseCount;
    m_lastData = now;
    m_silence->m_endpoints[m_endpoint].lastData = now;
}

base::milliseconds endpoint_silence::open_response::pace() const
{
    const base::milliseconds longest = *std::max_element(m_pauses.begin(), m_pauses.end());
    return m_pauseCount < minPauses ? std::max(longest, m_firstWait) : longest;
}

base::milliseconds endpoint_silence::endpoint_state::pace() const
{
    base::milliseconds shortest = base::milliseconds::max();
    for (const open_response *const each : openResponses) {
        shortest = std::min(shortest, each->pace());
    }
    return shortest;
}

bool endpoint_silence::isSilent(const base::endpoint_id &endpoint, base::milliseconds timeout) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || found->second.openResponses.size() < minOpenResponses) {
        return false;
    }
    const base::milliseconds pace = std::min(found->second.pace(), maxExcusedPause);
    const base::milliseconds excused = std::min(pace * paceNumerator / paceDenominator, maxExcusedPause);
    return base::clock::now() - found->second.lastData >= std::max(timeout, excused);
}

} // namespace chervilbend::node
