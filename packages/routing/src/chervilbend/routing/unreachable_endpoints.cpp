#include <chervilbend/routing/unreachable_endpoints.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// For so long a refused connection is reported to the holder.
constexpr base::milliseconds refusalLifetime{2'000};
/// What other nodes have reported is discarded after this time without an answer of the holder.
constexpr base::milliseconds listLifetime{3'000};
/// Longer than a request to the holder can take.
constexpr base::milliseconds responseRetention{2'000};
/// A process is announced again after this time without a note, which bounds the memory of those that are gone.
constexpr base::milliseconds announcementRetention{600'000};

} // namespace

void unreachable_endpoints::setEnabled(bool isEnabled)
{
    m_isEnabled = isEnabled;
}

void unreachable_endpoints::noteRefusedConnection(const endpoint_process &process)
{
    if (!m_isEnabled) {
        return;
    }
    const base::time_point now = base::clock::now();
    std::erase_if(m_refusedAt, [&](const auto &refused) { return now - refused.second > refusalLifetime; });
    m_refusedAt[process] = now;
    announce(process, unreachable_reporter::self);
}

void unreachable_endpoints::noteResponse(const endpoint_process &process)
{
    if (!m_isEnabled) {
        return;
    }
    const base::time_point now = base::clock::now();
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + responseRetention;
        std::erase_if(m_respondedAt, [&](const auto &responded) { return now - responded.second > responseRetention; });
    }
    m_refusedAt.erase(process);
    m_respondedAt[process] = now;
    const auto found = m_listed.find(process);
    if (found != m_listed.end() && !std::exchange(found->second.hasResponded, true)) {
        notifyChange();
    }
}

void unreachable_endpoints::setListed(const std::vector<endpoint_process> &processes, std::int64_t token, base::time_point requestedAt)
{
    if (!m_isEnabled) {
        return;
    }
    const base::time_point now = base::clock::now();
    std::erase_if(m_listed, [&](const auto &listed) { return now - listed.second.lastListed > listLifetime; });
    for (const endpoint_process &process : processes) {
        const auto [position, isNew] = m_listed.try_emplace(process);
        listed_process &listed = position->second;
        if (isNew) {
            const auto responded = m_respondedAt.find(process);
            listed.hasResponded = responded != m_respondedAt.end() && responded->second >= requestedAt;
            announce(process, unreachable_reporter::others);
        }
        listed.lastListed = now;
        listed.token = token;
    }
    // A new holder does not know yet what was reported to the one before it.
    const bool isChanged = std::erase_if(m_listed, [&](const auto &listed) { return listed.second.token == token && listed.second.lastListed < now; }) > 0;
    if (isChanged || !processes.empty()) {
        notifyChange();
    }
}

void unreachable_endpoints::onNote(note_listener listener)
{
    m_noteListener = std::move(listener);
}

void unreachable_endpoints::onChange(std::function<void()> listener)
{
    m_changeListener = std::move(listener);
}

std::vector<endpoint_process> unreachable_endpoints::own() const
{
    const base::time_point now = base::clock::now();
    std::vector<std::pair<base::time_point, endpoint_process>> refused;
    for (const auto &[process, refusedAt] : m_refusedAt) {
        if (now - refusedAt <= refusalLifetime) {
            refused.emplace_back(refusedAt, process);
        }
    }
    std::sort(refused.begin(), refused.end(), std::greater<>());
    refused.resize(std::min(refused.size(), maxListed));
    std::vector<endpoint_process> processes;
    processes.reserve(refused.size());
    for (auto &[refusedAt, process] : refused) {
        processes.push_back(std::move(process));
    }
    return processes;
}

bool unreachable_endpoints::isReported(const endpoint_process &process) const
{
    const auto found = m_listed.find(process);
    return found != m_listed.end() && !found->second.hasResponded && base::clock::now() - found->second.lastListed <= listLifetime;
}

void unreachable_endpoints::announce(const endpoint_process &process, unreachable_reporter reporter)
{
    const base::time_point now = base::clock::now();
    std::erase_if(m_announced, [&](const auto &announced) { return now - announced.second > announcementRetention; });
    const bool isNew = m_announced.insert_or_assign(process, now).second;
    if (isNew && m_noteListener) {
        m_noteListener(process, reporter);
    }
}

void unreachable_endpoints::notifyChange() const
{
    if (m_changeListener) {
        m_changeListener();
    }
}

} // namespace chervilbend::routing
