#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/on_demand_read.hpp>
#include <chervilbend/fleet/stream_origins.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace chervilbend::fleet
{

class published_versions;
class stream_store;

/// Remembers the origins of this node's streams, and records them in the platform's store while a service has several versions, so that any node can
/// continue them, also when this one has ended.
class recorded_stream_origins : public stream_origins
{
public:
    /// References must outlive the object.
    recorded_stream_origins(stream_store &store, published_versions &versions);

    /// Commands.

    /// Records origins. Does not return.
    boost::asio::awaitable<void> run();
    /// The published versions have changed.
    void versionsChanged();
    /// The more nodes there are, the longer is the interval of their records.
    void setNodeCount(int nodes);

    void noteBegun(const stream_origin &origin) override;
    void noteEnded(std::uint64_t stream, bool isComplete) override;
    boost::asio::awaitable<origin_lookup> find(base::service_id service, std::optional<std::uint64_t> stream, base::time_point until) override;

    /// Queries.

    std::size_t remembered() const
    {
        return m_own.size();
    }

private:
    struct own_stream {
        stream_origin origin;
        /// Number of answers that carry it now.
        int answers = 0;
        base::time_point endedAt;
        /// When it was last recorded; no value if it was not.
        std::optional<base::time_point> recordedAt;
        bool isPending = false;
    };

    base::milliseconds recordInterval() const;
    void enqueue(own_stream &stream);
    /// Forgets streams that ended some time ago, and enqueues those whose records may expire.
    void sweep();
    boost::asio::awaitable<void> record();
    boost::asio::awaitable<bool> readRecords();
    void remember(const stream_origin &origin);
    std::optional<origin_lookup> findKnown(std::uint64_t stream) const;

    stream_store &m_store;
    published_versions &m_versions;
    on_demand_read m_read;
    net::change_signal m_wake;
    int m_nodes = 1;
    std::unordered_map<std::uint64_t, own_stream> m_own;
    /// Streams to be recorded.
    std::deque<std::uint64_t> m_pending;
    bool m_isUrgent = false;
    base::time_point m_recordedAt;
    /// Records that were read, by stream, and the streams in the order of reading.
    std::unordered_map<std::uint64_t, base::software_version> m_records;
    std::deque<std::uint64_t> m_recordOrder;
    std::int64_t m_position = 0;
    /// The store's number of restorations at the last change of the versions.
    std::int64_t m_restorations = 0;
};

} // namespace chervilbend::fleet
