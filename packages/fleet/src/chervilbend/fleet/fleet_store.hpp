#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/lease_record.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace chervilbend::fleet
{

/// What a read of the configuration found.
struct configuration_page {
    /// The newest version among what was read; no value when nothing readable was there.
    std::optional<traffic_configuration> newest;
    /// Position from which the next read goes on.
    std::int64_t next = 0;
};

/// One endpoint's news. Without an entry, its registration has ended.
struct endpoint_change {
    base::endpoint_id id;
    std::optional<endpoint_entry> entry;
};

/// What a read of the endpoints' registrations found, in the order of the store.
struct endpoint_page {
    std::vector<endpoint_change> changes;
    std::int64_t next = 0;
};

/// The lease as it stands.
struct lease_page {
    /// No value while nobody has ever taken it.
    std::optional<lease_record> record;
    /// Offset of that record.
    std::int64_t offset = 0;
    /// Position that the next record will get.
    std::int64_t end = 0;
};

enum class lease_write_status {
    written,
    /// Another record was written in the meantime.
    conflict,
    /// The store said that it did nothing.
    refused,
    /// No answer: the record may have been written, or may be written later if nothing comes in between.
    unknown,
};

struct lease_write {
    lease_write_status status = lease_write_status::unknown;
    /// Offset of the record when it was written.
    std::int64_t offset = 0;
};

/// The platform's store: the operators' configuration, the endpoints' registrations, and the lease on commanding the engines.
///
/// Reads give no value when the store cannot be reached or refuses; lastReason() then has the kind logUnavailable, or recordInvalid when
/// the asked position is no longer kept and everything has to be read anew.
class fleet_store : public base::reason_holder
{
public:
    virtual ~fleet_store() = default;

    virtual boost::asio::awaitable<std::optional<configuration_page>> newestConfiguration() = 0;
    /// What came at or behind @p position, waiting up to @p wait for it.
    virtual boost::asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t position, base::milliseconds wait) = 0;

    virtual boost::asio::awaitable<std::optional<endpoint_page>> allEndpoints() = 0;
    virtual boost::asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t position) = 0;

    virtual boost::asio::awaitable<std::optional<lease_page>> lease() = 0;
    /// Writes @p record if it gets the position @p expected.
    virtual boost::asio::awaitable<lease_write> writeLease(lease_record record, std::int64_t expected) = 0;
};

} // namespace chervilbend::fleet
