#pragma once

#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace chervilbend::fleet::test
{

/// The content of a store that can come back from an older copy of itself: the newest records are lost, and their offsets are given out again.
struct restorable_content {
    std::vector<std::int64_t> versions;
    std::vector<endpoint_change> registrations;
    std::vector<lease_record> leases;
    std::int64_t restorations = 0;
    bool isDown = false;
    /// Registrations that an answer has at most.
    std::size_t registrationsPerAnswer = std::numeric_limits<std::size_t>::max();

    /// A copy to come back from; @c restorations stays.
    struct copy {
        std::size_t versions = 0;
        std::size_t registrations = 0;
        std::size_t leases = 0;
    };

    copy makeCopy() const
    {
        return {versions.size(), registrations.size(), leases.size()};
    }

    void restore(const copy &older)
    {
        versions.resize(older.versions);
        registrations.resize(older.registrations);
        leases.resize(older.leases);
        ++restorations;
    }
};

/// A node's connection to the store.
class restorable_store : public fleet_store
{
public:
    explicit restorable_store(restorable_content &shared)
        : m_content(shared)
    {
    }

    std::int64_t restorations() const override
    {
        return m_seenRestorations;
    }

    boost::asio::awaitable<std::optional<configuration_page>> newestConfiguration() override
    {
        const bool isAnswered = co_await answer();
        co_return isAnswered ? std::optional(versionsFrom(0)) : std::nullopt;
    }

    boost::asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t position, base::milliseconds wait) override
    {
        const base::time_point until = base::clock::now() + wait;
        bool isAnswered = co_await answer();
        while (isAnswered && isCurrent(position) && offsetOf(position) >= m_content.versions.size() && base::clock::now() < until) {
            isAnswered = co_await answer();
        }
        if (isAnswered && !isCurrent(position)) {
            co_return fail(base::error_kind::recordInvalid, "the position is void");
        }
        co_return isAnswered ? std::optional(versionsFrom(offsetOf(position))) : std::nullopt;
    }

    /// The records are version numbers.
    std::optional<traffic_configuration> decodeConfiguration(std::string_view record) override
    {
        traffic_configuration configuration;
        const std::from_chars_result result = std::from_chars(record.data(), record.data() + record.size(), configuration.version);
        return result.ec == std::errc{} ? std::optional(configuration) : std::nullopt;
    }

    boost::asio::awaitable<std::optional<endpoint_page>> allEndpoints() override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered) {
            co_return std::nullopt;
        }
        std::map<base::endpoint_id, endpoint_change> newest;
        for (const endpoint_change &change : m_content.registrations) {
            newest[change.id] = change;
        }
        endpoint_page page;
        page.next = positionAt(m_content.registrations.size());
        for (const auto &[id, change] : newest) {
            if (change.entry) {
                page.changes.push_back(change);
            }
        }
        page.isComplete = page.changes.size() <= m_content.registrationsPerAnswer;
        page.changes.resize(std::min(page.changes.size(), m_content.registrationsPerAnswer));
        co_return page;
    }

    boost::asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t position) override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered) {
            co_return std::nullopt;
        }
        if (!isCurrent(position)) {
            co_return fail(base::error_kind::recordInvalid, "the position is void");
        }
        const std::size_t missing = m_content.registrations.size() - offsetOf(position);
        const std::size_t read = std::min(missing, m_content.registrationsPerAnswer);
        const auto first = m_content.registrations.begin() + static_cast<std::ptrdiff_t>(offsetOf(position));
        endpoint_page page;
        page.next = positionAt(offsetOf(position) + read);
        page.changes.assign(first, first + static_cast<std::ptrdiff_t>(read));
        page.isComplete = read == missing;
        co_return page;
    }

    boost::asio::awaitable<std::optional<lease_page>> lease() override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered) {
            co_return std::nullopt;
        }
        lease_page page;
        page.end = positionAt(m_content.leases.size());
        if (!m_content.leases.empty()) {
            page.record = m_content.leases.back();
            page.offset = page.end - 1;
            page.record->token = page.record->token == 0 ? page.offset + 1 : page.record->token;
        }
        co_return page;
    }

    boost::asio::awaitable<lease_write> writeLease(lease_record record, std::int64_t expected) override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered) {
            co_return lease_write{};
        }
        if (expected != positionAt(m_content.leases.size())) {
            co_return lease_write{lease_write_status::conflict, 0};
        }
        m_content.leases.push_back(record);
        co_return lease_write{lease_write_status::written, expected};
    }

private:
    static constexpr std::int64_t offsetsPerRestoration = 1'000'000;
    static constexpr base::milliseconds delay{4};

    /// False when the store is down.
    boost::asio::awaitable<bool> answer()
    {
        co_await net::sleepFor(delay);
        if (m_content.isDown) {
            fail(base::error_kind::logUnavailable, "down");
            co_return false;
        }
        m_seenRestorations = m_content.restorations;
        co_return true;
    }

    std::int64_t positionAt(std::size_t offset) const
    {
        return m_content.restorations * offsetsPerRestoration + static_cast<std::int64_t>(offset);
    }

    bool isCurrent(std::int64_t position) const
    {
        return position / offsetsPerRestoration == m_content.restorations;
    }

    static std::size_t offsetOf(std::int64_t position)
    {
        return static_cast<std::size_t>(position % offsetsPerRestoration);
    }

    configuration_page versionsFrom(std::size_t offset) const
    {
        configuration_page page;
        page.next = positionAt(m_content.versions.size());
        if (offset < m_content.versions.size()) {
            page.newest.emplace().version = m_content.versions.back();
            page.record = std::to_string(m_content.versions.back());
        }
        return page;
    }

    restorable_content &m_content;
    std::int64_t m_seenRestorations = 0;
};

} // namespace chervilbend::fleet::test
