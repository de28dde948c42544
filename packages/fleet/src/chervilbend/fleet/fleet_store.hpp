#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/lease_record.hpp>
#include <chervilbend/fleet/store_recovery.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilbend::fleet
{

/// Result of a read of the configuration.
struct configuration_page {
    /// The newest version that was read; no value when there was no readable one.
    std::optional<traffic_configuration> newest;
    /// The record that @c newest was decoded from.
    std::string record;
    /// Position at which the next read continues.
    std::int64_t next = 0;
    /// Position after the last record of the store at the time of the read.
    std::int64_t end = 0;
    /// Whether the store had no record after those that were read.
    bool isComplete = true;
};

/// A change of one endpoint's registration. Without an entry, the registration has ended.
struct endpoint_change {
    base::endpoint_id id;
    std::optional<endpoint_entry> entry;
};

/// Result of a read of the endpoints' registrations, in the order of the store.
struct endpoint_page {
    std::vector<endpoint_change> changes;
    std::int64_t next = 0;
    /// Whether no registration is missing that the store had at the time of the read. What a page of changes lacks begins at @c next; what a list of all lacks
    /// comes when it is written again.
    bool isComplete = true;
};

/// The current lease record.
struct lease_page {
    /// No value when the lease has never been acquired.
    std::optional<lease_record> record;
    /// Offset of that record.
    std::int64_t offset = 0;
    /// Position of the next record.
    std::int64_t end = 0;
};

enum class lease_write_status {
    written,
    /// Another record was written first.
    conflict,
    /// The store refused the write, and nothing was written.
    refused,
    /// No answer: the record may have been written, or may still be written if no other record is written before it.
    unknown,
};

struct lease_write {
    lease_write_status status = lease_write_status::unknown;
    /// Offset of the record, if it was written.
    std::int64_t offset = 0;
};

/// The platform's store: the operators' configuration, the endpoints' registrations, and the lease for commanding the engines.
///
/// Reads return no value when the store cannot be reached or refuses; lastReason() then has the kind logUnavailable, or recordInvalid when
/// the requested position is no longer retained and everything has to be read again.
///
/// The store may come back from an older copy of itself and then lacks what was written since; the operators and the endpoints write theirs again.
/// Positions after such a restoration are greater than all earlier ones, and those are void.
class fleet_store : public base::reason_holder
{
public:
    virtual ~fleet_store() = default;

    /// The listener is called each time that a part of an answer to a read of the configuration has arrived.
    void onConfigurationArriving(std::function<void()> listener)
    {
        m_arrivingListener = std::move(listener);
    }

    /// How much longer than usual an answer to a read of the configuration may take to begin, while the store sends it to other nodes.
    void setAnswerAllowance(base::milliseconds allowance)
    {
        m_answerAllowance = allowance;
    }

    /// Shared by the tasks that call the store.
    store_recovery &recovery()
    {
        return m_recovery;
    }

    virtual boost::asio::awaitable<std::optional<configuration_page>> newestConfiguration() = 0;
    /// The records at or after @p position; waits up to @p wait for the first one.
    virtual boost::asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t position, base::milliseconds wait) = 0;
    /// Decodes a record of the configuration that another node has read. Does not call the store.
    virtual std::optional<traffic_configuration> decodeConfiguration(std::string_view record) = 0;

    virtual boost::asio::awaitable<std::optional<endpoint_page>> allEndpoints() = 0;
    virtual boost::asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t position) = 0;

    virtual boost::asio::awaitable<std::optional<lease_page>> lease() = 0;
    /// Writes @p record if its position will be @p expected (compare-and-set).
    virtual boost::asio::awaitable<lease_write> writeLease(lease_record record, std::int64_t expected) = 0;

    /// How often the store has come back from an older copy of itself, as far as its answers have shown.
    virtual std::int64_t restorations() const
    {
        return 0;
    }

protected:
    base::milliseconds answerAllowance() const
    {
        return m_answerAllowance;
    }

    void notifyConfigurationArriving() const
    {
        if (m_arrivingListener) {
            m_arrivingListener();
        }
    }

private:
    store_recovery m_recovery;
    std::function<void()> m_arrivingListener;
    base::milliseconds m_answerAllowance{0};
};

} // namespace chervilbend::fleet
