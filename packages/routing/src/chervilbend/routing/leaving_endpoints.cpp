#include <chervilbend/routing/leaving_endpoints.hpp>

#include <utility>

namespace chervilbend::routing
{

namespace
{

/// How long an endpoint is announced to the other nodes: until each has reported several times.
constexpr base::milliseconds announcementTime{5'000};
/// A process that has said that it is about to stop has ended after this time.
constexpr base::milliseconds retention{600'000};

} // namespace

void leaving_endpoints::note(const endpoint_process &process)
{
    const base::time_point now = base::clock::now();
    std::erase_if(m_notedAt, [&](const auto &noted) { return now - noted.second > retention; });
    const bool isNew = m_notedAt.try_emplace(process, now).second;
    if (isNew && m_listener) {
        m_listener(process);
    }
}

void leaving_endpoints::onNote(std::function<void(const endpoint_process &)> listener)
{
    m_listener = std::move(listener);
}

std::vector<endpoint_process> leaving_endpoints::recent() const
{
    const base::time_point now = base::clock::now();
    std::vector<endpoint_process> processes;
    for (const auto &[process, notedAt] : m_notedAt) {
        if (now - notedAt <= announcementTime) {
            processes.push_back(process);
        }
    }
    return processes;
}

} // namespace chervilbend::routing
