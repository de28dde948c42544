#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/fleet_store.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::fleet
{

/// What is known of the endpoints from their registrations in the platform's store.
///
/// A registration that ends while the store works means that the endpoint leaves. One that ended while the store was away may only have
/// lapsed: a living endpoint registers again within returnGrace of the store's return, and is used until then.
class endpoint_registry
{
public:
    /// How long after the store's return a lapsed endpoint is still taken to live.
    static constexpr base::milliseconds returnGrace{2'000};

    struct known_endpoint {
        endpoint_entry entry;
        /// When the entry was last read.
        base::time_point seen;
        /// The endpoint wrote the entry after this time; the clock's epoch when that is not known.
        base::time_point writtenAfter;
        /// The registration has ended while the store was away; the endpoint is used until then.
        std::optional<base::time_point> lapsesAt;
        /// When the endpoint was first seen to leave.
        std::optional<base::time_point> leavingSince;
    };

    /// Commands. Each gives the endpoints that have changed or are gone.

    /// The store could not be read.
    void noteAway(base::time_point now);
    /// Takes changes in the store's order. The first ones after noteAway() count as the store's return.
    std::set<base::endpoint_id> apply(const std::vector<endpoint_change> &changes, base::time_point now);
    /// Takes the registrations as a whole: endpoints that are not among them have ended theirs.
    std::set<base::endpoint_id> replace(const std::vector<endpoint_change> &all, base::time_point now);
    /// Takes what another node has read, which lacks the models that engines hold. @p isWhole: endpoints that are not among them are gone.
    std::set<base::endpoint_id> applyRelayed(const std::vector<endpoint_change> &changes, bool isWhole, base::time_point now);
    /// Removes lapsed endpoints that did not come back, and leaving ones that are long gone.
    std::set<base::endpoint_id> expire(base::time_point now);

    /// Queries.

    const std::map<base::endpoint_id, known_endpoint> &endpoints() const
    {
        return m_endpoints;
    }

    /// Whether entries came from another node since the last replace(), so that they may lack models.
    bool isRelayed() const
    {
        return m_relayed;
    }

private:
    void noteReturn(base::time_point now);
    std::vector<base::endpoint_id> missingFrom(const std::set<base::endpoint_id> &registered) const;
    bool take(const endpoint_change &change, base::time_point now);
    bool end(const base::endpoint_id &id, base::time_point now);

    std::map<base::endpoint_id, known_endpoint> m_endpoints;
    /// The last read before the one that is being taken over.
    base::time_point m_lastRead;
    bool m_away = false;
    bool m_relayed = false;
    /// End of the grace after the store's last return.
    base::time_point m_graceEnd;
};

} // namespace chervilbend::fleet
