#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/stream_origin.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::fleet
{

/// Software versions by service.
using version_table = std::map<base::service_id, std::set<base::software_version>>;

/// The published versions as read from the store.
struct published_page {
    version_table versions;
    /// Position of the next record.
    std::int64_t end = 0;
    /// How often the store has come back from an older copy of itself.
    std::int64_t restorations = 0;
};

/// Origins of streams, in the order of the store.
struct origin_page {
    std::vector<stream_origin> origins;
    /// Position after the last record of this page.
    std::int64_t next = 0;
    /// Position after the last record in the store.
    std::int64_t end = 0;
};

/// What the nodes keep in the platform's store so that a stream can go on at another node. Reads return no value, with a last reason, when the store
/// cannot be reached or refuses.
class stream_store : public base::reason_holder
{
public:
    virtual ~stream_store() = default;

    /// How often the store has come back from an older copy of itself, as of the latest answer.
    virtual std::int64_t restorations() const = 0;

    virtual boost::asio::awaitable<std::optional<published_page>> publishedVersions() = 0;
    /// Replaces the published versions if the position of the new record will be @p expected (compare-and-set).
    virtual boost::asio::awaitable<lease_write_status> publishVersions(version_table versions, std::int64_t expected) = 0;

    /// Adds records. False, with a last reason, if they were not added or no answer arrived.
    virtual boost::asio::awaitable<bool> appendOrigins(std::vector<stream_origin> origins) = 0;
    /// The retained records at or after @p position; waits up to @p wait if there are none.
    virtual boost::asio::awaitable<std::optional<origin_page>> originsFrom(std::int64_t position, base::milliseconds wait) = 0;
};

} // namespace chervilbend::fleet
