#include <chervilbend/fleet/published_versions.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

constexpr base::milliseconds readTimeout{1'000};
/// Interval of attempts while a version is not published.
constexpr base::milliseconds retryInterval{100};
constexpr base::milliseconds idleInterval{1'000};
/// The delay before a node publishes is drawn below the larger of these: one node's publication then serves the others.
constexpr base::milliseconds minSpread{60};
constexpr base::milliseconds spreadPerNode{4};

const log4cxx::LoggerPtr &endpointLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("endpoints");
    return logger;
}

} // namespace

published_versions::published_versions(stream_store &store, const endpoint_registry &registry, std::uint64_t seed)
    : m_store(store)
    , m_registry(registry)
    , m_read([this] { return read(); })
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void published_versions::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void published_versions::setRegistrationsReadAt(std::function<base::time_point()> readAt)
{
    m_registrationsReadAt = std::move(readAt);
}

void published_versions::notify() const
{
    if (m_listener) {
        m_listener();
    }
}

void published_versions::setHolder(bool isHolder)
{
    m_isHolder = isHolder;
    m_absentSince.clear();
}

void published_versions::setNodeCount(int nodes)
{
    m_nodes = nodes;
}

void published_versions::endpointsChanged()
{
    track();
    if (!m_missingSince.empty()) {
        m_wake.notify();
    }
}

asio::awaitable<bool> published_versions::refresh(base::time_point until)
{
    co_return co_await m_read.read(until);
}

asio::awaitable<void> published_versions::run()
{
    while (true) {
        if (!m_isRead || m_store.restorations() != m_page.restorations) {
            co_await refresh(base::clock::now() + readTimeout);
        } else if (!m_missingSince.empty()) {
            co_await publishMissing();
        } else if (m_isHolder) {
            co_await withdrawAbsent();
        }
        const std::size_t missingBefore = m_missingSince.size();
        const bool isSettled = m_isRead && missingBefore == 0;
        co_await m_wake.wait(base::clock::now() + (isSettled ? idleInterval : retryInterval));
        track();
        if (missingBefore > 0) {
            // Endpoints may have become usable because their version was missing for too long.
            notify();
        }
    }
}

asio::awaitable<bool> published_versions::read()
{
    const std::optional<published_page> page = co_await m_store.publishedVersions();
    if (!page) {
        co_return false;
    }
    co_return apply(*page);
}

bool published_versions::apply(const published_page &page)
{
    if (m_isRead && page.end < m_page.end) {
        return false;
    }
    if (m_isRead && page.restorations != m_page.restorations) {
        for (const auto &[service, versions] : m_page.versions) {
            for (const base::software_version &version : versions) {
                m_lost.emplace(service, version);
            }
        }
    }
    const bool isChanged = !m_isRead || page.versions != m_page.versions || page.restorations != m_page.restorations;
    m_page = page;
    m_isRead = true;
    std::erase_if(m_lost, [this](const service_version &version) { return isPublished(version); });
    track();
    if (isChanged) {
        notify();
    }
    return true;
}

asio::awaitable<void> published_versions::publishMissing()
{
    const std::int64_t spread = std::max(minSpread, m_nodes * spreadPerNode).count();
    co_await net::sleepFor(base::milliseconds(std::uniform_int_distribution<std::int64_t>(0, spread)(m_random)));
    const bool isRead = co_await refresh(base::clock::now() + readTimeout);
    if (!isRead || m_missingSince.empty()) {
        co_return;
    }
    version_table versions = m_page.versions;
    const std::map<service_version, base::time_point> unpublished = m_missingSince;
    for (const auto &[missing, since] : unpublished) {
        versions[missing.first].insert(missing.second);
    }
    const bool isWritten = co_await write(std::move(versions));
    for (const auto &[missing, since] : unpublished) {
        LOG4CXX_INFO(endpointLog(),
                     base::log_event("versionPublished")
                         .with("service", missing.first.value())
                         .with("software", missing.second.value())
                         .with("written", isWritten)
                         .text());
    }
}

asio::awaitable<bool> published_versions::write(version_table versions)
{
    published_page next = m_page;
    next.versions = std::move(versions);
    const lease_write_status status = co_await m_store.publishVersions(next.versions, next.end);
    if (status == lease_write_status::written) {
        ++next.end;
        apply(next);
    }
    co_return status == lease_write_status::written;
}

asio::awaitable<void> published_versions::withdrawAbsent()
{
    track();
    const base::time_point now = base::clock::now();
    version_table versions = m_page.versions;
    for (const auto &[absent, since] : m_absentSince) {
        if (now - since >= withdrawalDelay) {
            versions[absent.first].erase(absent.second);
            LOG4CXX_INFO(endpointLog(),
                         base::log_event("versionWithdrawn").with("service", absent.first.value()).with("software", absent.second.value()).text());
        }
    }
    if (versions == m_page.versions) {
        co_return;
    }
    const bool isWritten = co_await write(std::move(versions));
    if (!isWritten) {
        co_await refresh(base::clock::now() + readTimeout);
    }
}

bool published_versions::isPublished(const service_version &version) const
{
    const auto found = m_page.versions.find(version.first);
    return found != m_page.versions.end() && found->second.contains(version.second);
}

std::set<published_versions::service_version> published_versions::registered() const
{
    std::set<service_version> versions;
    for (const auto &[id, known] : m_registry.endpoints()) {
        if (!known.entry.softwareVersion.empty()) {
            versions.emplace(known.entry.service, known.entry.softwareVersion);
        }
    }
    return versions;
}

std::set<published_versions::service_version> published_versions::missing() const
{
    std::set<service_version> unpublished = m_inService;
    unpublished.insert(m_lost.begin(), m_lost.end());
    std::erase_if(unpublished, [this](const service_version &version) { return isPublished(version); });
    return unpublished;
}

void published_versions::track()
{
    const base::time_point now = base::clock::now();
    m_inService = registered();
    m_known = m_page.versions;
    for (const std::set<service_version> *unlisted : {&m_lost, &m_inService}) {
        for (const auto &[service, version] : *unlisted) {
            m_known[service].insert(version);
        }
    }
    const std::set<service_version> unpublished = missing();
    std::erase_if(m_missingSince, [&](const auto &known) { return !unpublished.contains(known.first); });
    for (const service_version &version : unpublished) {
        m_missingSince.try_emplace(version, now);
    }
    if (!m_isHolder) {
        return;
    }
    std::erase_if(m_absentSince, [&](const auto &known) { return m_inService.contains(known.first) || !isPublished(known.first); });
    for (const auto &[service, versions] : m_page.versions) {
        for (const base::software_version &version : versions) {
            if (!m_inService.contains({service, version})) {
                m_absentSince.try_emplace({service, version}, now);
            }
        }
    }
}

bool published_versions::isUsable(const endpoint_entry &entry) const
{
    const service_version version{entry.service, entry.softwareVersion};
    if (version.second.empty() || isPublished(version)) {
        return true;
    }
    const auto since = m_missingSince.find(version);
    return since != m_missingSince.end() && base::clock::now() - since->second >= publicationTimeout;
}

const std::set<base::software_version> &published_versions::versionsOf(const base::service_id &service) const
{
    static const std::set<base::software_version> none;
    const auto found = m_known.find(service);
    return found == m_known.end() ? none : found->second;
}

std::optional<base::software_version> published_versions::onlyVersion(const base::service_id &service) const
{
    const std::set<base::software_version> &versions = versionsOf(service);
    const bool isOnly = versions.size() == 1 && isPublished({service, *versions.begin()});
    return isOnly ? std::optional(*versions.begin()) : std::nullopt;
}

bool published_versions::knowsRegistrations() const
{
    return !m_registrationsReadAt || base::clock::bootNow() - m_registrationsReadAt() < publicationTimeout;
}

} // namespace chervilbend::fleet
