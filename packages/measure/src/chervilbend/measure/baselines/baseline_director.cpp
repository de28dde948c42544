#include <chervilbend/measure/baselines/baseline_director.hpp>

#include <algorithm>

namespace chervilbend::measure
{

void baseline_director::setEndpoint(const routing::endpoint_facts &facts)
{
    m_targets.push_back({facts.endpoint, 0});
}

void baseline_director::removeEndpoint(const base::endpoint_id & /*endpoint*/)
{
}

void baseline_director::setReport(const base::endpoint_id & /*endpoint*/, const routing::load_report & /*report*/)
{
}

void baseline_director::setNodeCount(int nodes)
{
    m_nodes = nodes;
}

std::optional<routing::request_handle> baseline_director::submit(const routing::request_facts & /*facts*/, base::reason & /*why*/)
{
    m_waiting.push_back(++m_last);
    return m_last;
}

bool baseline_director::retry(routing::request_handle request, routing::request_outcome outcome, base::reason &why)
{
    why = {base::error_kind::endpointFailed, "no retries"};
    finish(request, outcome);
    return false;
}

std::vector<routing::dispatch> baseline_director::takeDispatches()
{
    std::vector<routing::dispatch> out;
    std::size_t sent = 0;
    while (sent < m_waiting.size()) {
        const std::optional<std::size_t> chosen = choose();
        if (!chosen) {
            break;
        }
        ++m_targets[*chosen].inFlight;
        m_running[m_waiting[sent]] = *chosen;
        out.push_back({m_waiting[sent], m_targets[*chosen].endpoint, {}});
        ++sent;
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(sent));
    return out;
}

std::vector<routing::refusal> baseline_director::takeRefusals()
{
    return {};
}

void baseline_director::firstByte(routing::request_handle /*request*/)
{
}

void baseline_director::progress(routing::request_handle /*request*/, base::token_count /*generated*/)
{
}

void baseline_director::finish(routing::request_handle request, routing::request_outcome /*outcome*/)
{
    const auto found = m_running.find(request);
    if (found != m_running.end()) {
        --m_targets[found->second].inFlight;
        m_running.erase(found);
    }
}

void baseline_director::mergeRemoteSuspicion(std::uint64_t /*fingerprint*/, int /*crashes*/)
{
}

std::vector<std::pair<std::uint64_t, int>> baseline_director::suspicions() const
{
    return {};
}

base::time_point baseline_director::nextWakeup() const
{
    return base::clock::now() + base::milliseconds(3'600'000);
}

std::size_t baseline_director::leastOutstanding() const
{
    const auto least = std::min_element(m_targets.begin(), m_targets.end(), [](const target &a, const target &b) { return a.inFlight < b.inFlight; });
    return static_cast<std::size_t>(least - m_targets.begin());
}

} // namespace chervilbend::measure
