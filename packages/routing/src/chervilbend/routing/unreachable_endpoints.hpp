#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_process.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace chervilbend::routing
{

/// Who found that an endpoint refuses connections.
enum class unreachable_reporter {
    self,
    others,
};

/// Endpoint processes that refuse connections: those that have refused one of this node, and those that the lease holder lists because other nodes have
/// reported them.
class unreachable_endpoints
{
public:
    using note_listener = std::function<void(const endpoint_process &process, unreachable_reporter reporter)>;

    /// The most processes that a message lists.
    static constexpr std::size_t maxListed = 32;

    /// Commands.

    /// Whether this node takes part; if not, it reports nothing and applies no reports. To be called before the first note.
    void setEnabled(bool isEnabled);
    /// A connection of this node was refused.
    void noteRefusedConnection(const endpoint_process &process);
    /// This node has received a response from the process.
    void noteResponse(const endpoint_process &process);
    /// Takes the list of an answer of the holder whose fencing token is @p token. The answer's request was sent at @p requestedAt.
    void setListed(const std::vector<endpoint_process> &processes, std::int64_t token, base::time_point requestedAt);
    /// The listener is called when a process is noted first, and again if it was not noted for 10 minutes.
    void onNote(note_listener listener);
    /// The listener is called when the processes that other nodes have reported may have changed.
    void onChange(std::function<void()> listener);

    /// Queries.

    /// The processes that have recently refused connections of this node, for the holder. At most maxListed, the latest ones.
    std::vector<endpoint_process> own() const;
    /// Whether other nodes have reported the process, and this node has received no response from it since.
    bool isReported(const endpoint_process &process) const;
    bool hasReported() const
    {
        return !m_listed.empty();
    }

private:
    struct listed_process {
        base::time_point lastListed;
        std::int64_t token = 0;
        bool hasResponded = false;
    };

    void announce(const endpoint_process &process, unreachable_reporter reporter);
    void notifyChange() const;

    bool m_isEnabled = true;
    std::map<endpoint_process, base::time_point> m_refusedAt;
    /// Responses since the oldest request to the holder that may still be answered.
    std::map<endpoint_process, base::time_point> m_respondedAt;
    base::time_point m_nextExpiry;
    std::map<endpoint_process, listed_process> m_listed;
    /// When a process that was announced to the listener was last noted.
    std::map<endpoint_process, base::time_point> m_announced;
    note_listener m_noteListener;
    std::function<void()> m_changeListener;
};

} // namespace chervilbend::routing
