#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/fleet_store.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::fleet
{

/// The endpoints known from their registrations in the platform's store.
///
/// A registration that ends while the store is available means that the endpoint leaves. One that ended during an outage of the store may just
/// have expired: a live endpoint registers again within reregistrationGrace of the end of the outage, and is used until then.
///
/// The store may come back from an older copy of itself. A process that was seen draining stays so, and a registration that was seen to end stays ended
/// until its endpoint writes again.
class endpoint_registry
{
public:
    /// How long after an outage of the store an endpoint with an expired registration is still assumed to be alive.
    static constexpr base::milliseconds reregistrationGrace{2'000};

    struct known_endpoint {
        endpoint_entry entry;
        /// When the entry was last read.
        base::time_point readAt;
        /// The endpoint wrote the entry after this time; the clock's epoch when this is not known.
        base::time_point writtenAfter;
        /// Set when the registration ended during an outage of the store: the endpoint is used until this time.
        std::optional<base::time_point> expiresAt;
        /// When the endpoint was first seen draining.
        std::optional<base::time_point> drainingSince;
    };

    /// Commands. Those with a result return the endpoints that have changed or are gone.

    /// The store could not be read.
    void noteStoreUnavailable(base::time_point now);
    /// Applies changes in the store's order, which were read by a call that was sent at @p requestedAt. The first call after noteStoreUnavailable() marks the
    /// end of the outage.
    std::set<base::endpoint_id> apply(const std::vector<endpoint_change> &changes, base::time_point now, base::time_point requestedAt);
    /// Applies the full list of registrations, read in the same way: endpoints that are not in it have ended theirs.
    std::set<base::endpoint_id> replace(const std::vector<endpoint_change> &all, base::time_point now, base::time_point requestedAt);
    /// Applies a list that lacks some registrations, read in the same way. Endpoints that are not in it stay, with @p expiry until then if they are not read
    /// again.
    std::set<base::endpoint_id>
        applyPart(const std::vector<endpoint_change> &some, base::time_point now, base::time_point requestedAt, std::optional<base::time_point> expiry);
    /// Applies what another node has read, which lacks the models that engines hold. With @p isSnapshot, endpoints that are not listed are gone.
    std::set<base::endpoint_id> applyRelayed(const std::vector<endpoint_change> &changes, bool isSnapshot, base::time_point now);
    /// Removes endpoints whose registration expired and that did not register again in time.
    std::set<base::endpoint_id> expire(base::time_point now);

    /// Queries.

    const std::map<base::endpoint_id, known_endpoint> &endpoints() const
    {
        return m_endpoints;
    }

    /// Whether entries were relayed by another node since the last replace() or applyPart() and so may lack models.
    bool isRelayed() const
    {
        return m_relayed;
    }

private:
    void noteStoreAvailable(base::time_point now);
    std::vector<base::endpoint_id> missingFrom(const std::set<base::endpoint_id> &registered) const;
    bool applyChange(const endpoint_change &change, base::time_point now);
    bool endRegistration(const base::endpoint_id &id, base::time_point now);
    void erase(const base::endpoint_id &id, base::time_point now);
    /// Whether the entry was written before the end of its registration was seen.
    bool hasEnded(const endpoint_entry &entry) const;

    struct ended_registration {
        std::int64_t startedAt = 0;
        /// The last one that was seen.
        std::int64_t heartbeat = 0;
        base::time_point endedAt;
    };

    std::map<base::endpoint_id, known_endpoint> m_endpoints;
    /// Registrations that ended recently.
    std::map<base::endpoint_id, ended_registration> m_ended;
    /// When the last read before the one that is being applied was requested. The store answered it some time between then and its arrival.
    base::time_point m_lastRequest;
    bool m_storeUnavailable = false;
    bool m_relayed = false;
    /// End of the grace period after the last outage of the store.
    base::time_point m_graceEnd;
};

} // namespace chervilbend::fleet
