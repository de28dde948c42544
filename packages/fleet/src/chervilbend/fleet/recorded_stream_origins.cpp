#include <chervilbend/fleet/recorded_stream_origins.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/published_versions.hpp>
#include <chervilbend/fleet/stream_store.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// Interval of a node's records, and the part of it for each node: all nodes together write 100 times a second at most.
constexpr base::milliseconds minRecordInterval{200};
constexpr base::milliseconds recordIntervalPerNode{10};
/// The same for a stream that has broken off, whose caller is about to come back.
constexpr base::milliseconds urgentRecordInterval{20};
constexpr base::milliseconds idleInterval{1'000};
constexpr std::size_t maxOriginsPerRecord = 4'000;
/// Records of an open stream are repeated, because the store retains them for a limited time, 20 s at least.
constexpr base::milliseconds renewalInterval{6'000};
/// How long a stream is remembered after its answer has ended.
constexpr base::milliseconds ownRetention{30'000};
constexpr std::size_t maxRecords = 100'000;
/// Within this time each node that lives has recorded the streams that have broken off there.
constexpr base::milliseconds recordPatience{300};
constexpr base::milliseconds readWait{100};
constexpr base::milliseconds readRetryInterval{50};

const log4cxx::LoggerPtr &storeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("store");
    return logger;
}

origin_lookup unknownOrigin(base::error_kind kind, std::string text)
{
    return {{}, origin_source::unknown, {kind, std::move(text)}};
}

} // namespace

std::string_view toString(origin_source source)
{
    switch (source) {
    case origin_source::ownMemory:
        return "own memory";
    case origin_source::singleVersion:
        return "single version";
    case origin_source::record:
        return "record";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

recorded_stream_origins::recorded_stream_origins(stream_store &store, published_versions &versions)
    : m_store(store)
    , m_versions(versions)
    , m_read([this] { return readRecords(); })
{
}

void recorded_stream_origins::setNodeCount(int nodes)
{
    m_nodes = nodes;
}

base::milliseconds recorded_stream_origins::recordInterval() const
{
    return std::max(minRecordInterval, m_nodes * recordIntervalPerNode);
}

void recorded_stream_origins::noteBegun(const stream_origin &origin)
{
    own_stream &stream = m_own.try_emplace(origin.stream, own_stream{origin, 0, {}, {}, false}).first->second;
    ++stream.answers;
    if (!stream.recordedAt && m_versions.isMixed(origin.service)) {
        enqueue(stream);
    }
}

void recorded_stream_origins::noteEnded(std::uint64_t stream, bool isComplete)
{
    const auto found = m_own.find(stream);
    if (found == m_own.end()) {
        return;
    }
    found->second.answers = std::max(0, found->second.answers - 1);
    found->second.endedAt = base::clock::now();
    if (!isComplete && found->second.isPending) {
        m_isUrgent = true;
        m_wake.notify();
    }
}

void recorded_stream_origins::versionsChanged()
{
    // The older copy may lack the records.
    const bool isRestored = std::exchange(m_restorations, m_versions.restorations()) != m_versions.restorations();
    for (auto &[id, stream] : m_own) {
        if (isRestored) {
            stream.recordedAt.reset();
        }
        if (!stream.recordedAt && m_versions.isMixed(stream.origin.service)) {
            enqueue(stream);
        }
    }
}

void recorded_stream_origins::enqueue(own_stream &stream)
{
    if (stream.isPending) {
        return;
    }
    stream.isPending = true;
    m_pending.push_back(stream.origin.stream);
    if (m_pending.size() == 1) {
        m_wake.notify();
    }
}

void recorded_stream_origins::sweep()
{
    const base::time_point now = base::clock::now();
    std::erase_if(m_own, [&](const auto &known) { return known.second.answers == 0 && !known.second.isPending && now - known.second.endedAt > ownRetention; });
    for (auto &[id, stream] : m_own) {
        if (stream.answers > 0 && stream.recordedAt && now - *stream.recordedAt > renewalInterval) {
            enqueue(stream);
        }
    }
}

asio::awaitable<void> recorded_stream_origins::run()
{
    while (true) {
        const base::time_point now = base::clock::now();
        const base::time_point due = m_recordedAt + (m_isUrgent ? urgentRecordInterval : recordInterval());
        if (!m_pending.empty() && now >= due) {
            co_await record();
        } else {
            const bool isWoken = co_await m_wake.wait(m_pending.empty() ? now + idleInterval : due);
            if (!isWoken) {
                sweep();
            }
        }
    }
}

asio::awaitable<void> recorded_stream_origins::record()
{
    std::vector<stream_origin> origins;
    while (!m_pending.empty() && origins.size() < maxOriginsPerRecord) {
        own_stream &stream = m_own.at(m_pending.front());
        m_pending.pop_front();
        stream.isPending = false;
        origins.push_back(stream.origin);
    }
    const base::time_point sentAt = base::clock::now();
    m_recordedAt = sentAt;
    m_isUrgent = false;
    const bool recorded = co_await m_store.appendOrigins(origins);
    if (!recorded) {
        LOG4CXX_WARN(storeLog(), base::log_event("originsNotRecorded").with("streams", origins.size()).with("why", m_store.lastReason().text).text());
    }
    for (const stream_origin &origin : origins) {
        const auto stream = m_own.find(origin.stream);
        if (stream == m_own.end()) {
            continue;
        }
        if (recorded) {
            stream->second.recordedAt = sentAt;
        } else {
            enqueue(stream->second);
        }
    }
}

asio::awaitable<bool> recorded_stream_origins::readRecords()
{
    while (true) {
        const std::optional<origin_page> page = co_await m_store.originsFrom(m_position, readWait);
        if (!page) {
            co_return false;
        }
        for (const stream_origin &origin : page->origins) {
            remember(origin);
        }
        m_position = page->next;
        if (page->next >= page->end) {
            co_return true;
        }
    }
}

void recorded_stream_origins::remember(const stream_origin &origin)
{
    if (!m_records.try_emplace(origin.stream, origin.version).second) {
        return;
    }
    m_recordOrder.push_back(origin.stream);
    if (m_recordOrder.size() > maxRecords) {
        m_records.erase(m_recordOrder.front());
        m_recordOrder.pop_front();
    }
}

std::optional<origin_lookup> recorded_stream_origins::findKnown(std::uint64_t stream) const
{
    const auto own = m_own.find(stream);
    if (own != m_own.end()) {
        return origin_lookup{own->second.origin.version, origin_source::ownMemory, {}};
    }
    const auto record = m_records.find(stream);
    return record == m_records.end() ? std::nullopt : std::optional(origin_lookup{record->second, origin_source::record, {}});
}

asio::awaitable<origin_lookup> recorded_stream_origins::find(base::service_id service, std::optional<std::uint64_t> stream, base::time_point until)
{
    std::optional<origin_lookup> known = stream ? findKnown(*stream) : std::nullopt;
    if (known) {
        co_return *known;
    }
    const bool isRead = co_await m_versions.refresh(until);
    if (!isRead) {
        co_return unknownOrigin(base::error_kind::noEndpoint, "the store does not tell which software version began the stream");
    }
    const std::optional<base::software_version> onlyVersion = m_versions.onlyVersion(service);
    if (onlyVersion && !m_versions.knowsRegistrations()) {
        co_return unknownOrigin(base::error_kind::noEndpoint, "the known registrations are too old to tell whether another software version serves");
    }
    if (onlyVersion) {
        origin_lookup only;
        only.version = *onlyVersion;
        only.source = origin_source::singleVersion;
        co_return only;
    }
    if (m_versions.versionsOf(service).empty() || !stream) {
        co_return unknownOrigin(base::error_kind::notResumable, "several software versions may have begun the stream, and the request does not name it");
    }
    const base::time_point patience = std::min(until, base::clock::now() + recordPatience);
    bool hasRead = false;
    while (!known && base::clock::now() < patience) {
        const bool isComplete = co_await m_read.read(patience);
        hasRead = hasRead || isComplete;
        known = findKnown(*stream);
        if (!known && !isComplete) {
            co_await net::sleepFor(std::min(readRetryInterval, std::max(base::milliseconds(0), patience - base::clock::now())));
        }
    }
    if (known) {
        co_return *known;
    }
    co_return hasRead ? unknownOrigin(base::error_kind::notResumable, "no record tells which of several software versions began the stream")
                      : unknownOrigin(base::error_kind::noEndpoint, "the store does not tell which of several software versions began the stream");
}

} // namespace chervilbend::fleet
