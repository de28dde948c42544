#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/on_demand_read.hpp>
#include <chervilbend/fleet/stream_store.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace chervilbend::fleet
{

class endpoint_registry;
struct endpoint_entry;

/// The software versions, by service, that may have begun streams that are still alive. They are kept in the platform's store.
///
/// A version is published before a node uses an endpoint of it, so a node that finds a single version published knows which one began any stream. Any
/// node publishes what it misses; only the holder of the command lease withdraws a version, some time after its last endpoint has left.
class published_versions
{
public:
    /// How long after its last endpoint has left a version is withdrawn. Longer than callers come back to a stream.
    static constexpr base::milliseconds withdrawalDelay{60'000};
    /// Endpoints whose version could not be published for so long are used all the same.
    static constexpr base::milliseconds publicationTimeout{2'000};

    /// References must outlive the object. Seeds must differ between nodes.
    published_versions(stream_store &store, const endpoint_registry &registry, std::uint64_t seed);

    /// Commands.

    /// Publishes and withdraws versions. Does not return.
    boost::asio::awaitable<void> run();
    /// Reads the published versions. False if no read that began after this call has succeeded by @p until.
    boost::asio::awaitable<bool> refresh(base::time_point until);
    /// The registrations have changed.
    void endpointsChanged();
    void setHolder(bool isHolder);
    /// The more nodes there are, the more their attempts to publish are spread.
    void setNodeCount(int nodes);
    /// The listener is called when the published versions have changed, or endpoints have become usable.
    void onChange(std::function<void()> listener);
    /// @p readAt tells, by the clock that counts suspension, when the latest read of the registrations began.
    void setRegistrationsReadAt(std::function<base::time_point()> readAt);

    /// Queries.

    /// Whether requests may be sent to the endpoint.
    bool isUsable(const endpoint_entry &entry) const;
    /// The versions whose streams may be alive, as far as this node knows: those published, those that the store has lost, and those in service, which
    /// other nodes may use unpublished.
    const std::set<base::software_version> &versionsOf(const base::service_id &service) const;
    /// Whether streams of several versions may be alive.
    bool isMixed(const base::service_id &service) const
    {
        return versionsOf(service).size() > 1;
    }
    /// The version that has begun each stream of the service that may be alive; no value if there may be several, or if it is not published.
    std::optional<base::software_version> onlyVersion(const base::service_id &service) const;
    /// Whether the registrations are so recent that they show each version that another node may use unpublished.
    bool knowsRegistrations() const;
    /// How often the store had come back from an older copy of itself at the last read.
    std::int64_t restorations() const
    {
        return m_page.restorations;
    }

private:
    using service_version = std::pair<base::service_id, base::software_version>;

    boost::asio::awaitable<bool> read();
    /// Replaces the published versions in the store. Returns whether they were written.
    boost::asio::awaitable<bool> write(version_table versions);
    boost::asio::awaitable<void> publishMissing();
    boost::asio::awaitable<void> withdrawAbsent();
    /// False, without effect, if the page is older than the last one.
    bool apply(const published_page &page);
    bool isPublished(const service_version &version) const;
    std::set<service_version> registered() const;
    /// The versions that have to be published: those in service, and those that the store has lost.
    std::set<service_version> missing() const;
    /// Determines the known versions, and updates the times since which versions are missing or absent.
    void track();
    void notify() const;

    stream_store &m_store;
    const endpoint_registry &m_registry;
    on_demand_read m_read;
    std::minstd_rand m_random;
    std::function<void()> m_listener;
    std::function<base::time_point()> m_registrationsReadAt;
    net::change_signal m_wake;
    published_page m_page;
    bool m_isRead = false;
    bool m_isHolder = false;
    int m_nodes = 1;
    /// The versions in service, as of the last track().
    std::set<service_version> m_inService;
    /// What versionsOf() returns, as of the last track().
    version_table m_known;
    /// Versions that were published before the store came back from an older copy of itself.
    std::set<service_version> m_lost;
    /// The versions that have to be published, as of the last track(), and since when they are missing.
    std::map<service_version, base::time_point> m_missingSince;
    /// Since when this node, as holder, has seen no endpoint of a published version.
    std::map<service_version, base::time_point> m_absentSince;
};

} // namespace chervilbend::fleet
