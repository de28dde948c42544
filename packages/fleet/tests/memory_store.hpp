#pragma once

#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/net/sleep.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::fleet::test
{

/// Content of the store, shared by the nodes of a test.
struct store_content {
    std::optional<lease_record> lease;
    std::int64_t leaseOffset = 0;
    std::int64_t leaseEnd = 0;
    int writes = 0;
};

/// A node's connection to an in-memory store, with the faults of the real one.
class memory_store : public fleet_store
{
public:
    explicit memory_store(store_content &shared)
        : content(shared)
    {
    }

    /// While set, no call reaches the store.
    bool isDisconnected = false;
    /// While set, writes are executed but their answers are lost.
    bool losesAnswers = false;
    base::milliseconds delay{4};

    boost::asio::awaitable<std::optional<configuration_page>> newestConfiguration() override
    {
        co_return fail(base::error_kind::logUnavailable, "not simulated");
    }

    boost::asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t /*position*/, base::milliseconds /*wait*/) override
    {
        co_return fail(base::error_kind::logUnavailable, "not simulated");
    }

    std::optional<traffic_configuration> decodeConfiguration(std::string_view /*record*/) override
    {
        return fail(base::error_kind::recordInvalid, "not simulated");
    }

    boost::asio::awaitable<std::optional<endpoint_page>> allEndpoints() override
    {
        co_return fail(base::error_kind::logUnavailable, "not simulated");
    }

    boost::asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t /*position*/) override
    {
        co_return fail(base::error_kind::logUnavailable, "not simulated");
    }

    boost::asio::awaitable<std::optional<lease_page>> lease() override
    {
        co_await net::sleepFor(delay);
        if (isDisconnected) {
            co_return fail(base::error_kind::logUnavailable, "disconnected");
        }
        lease_page page;
        page.record = content.lease;
        if (page.record && page.record->token == 0) {
            page.record->token = content.leaseOffset + 1;
        }
        page.offset = content.leaseOffset;
        page.end = content.leaseEnd;
        co_return page;
    }

    boost::asio::awaitable<lease_write> writeLease(lease_record record, std::int64_t expected) override
    {
        co_await net::sleepFor(delay);
        ++content.writes;
        if (isDisconnected) {
            fail(base::error_kind::logUnavailable, "disconnected");
            co_return lease_write{};
        }
        if (expected != content.leaseEnd) {
            co_return lease_write{lease_write_status::conflict, 0};
        }
        content.lease = record;
        content.leaseOffset = content.leaseEnd++;
        if (losesAnswers) {
            fail(base::error_kind::logUnavailable, "the answer was lost");
            co_return lease_write{};
        }
        co_return lease_write{lease_write_status::written, content.leaseOffset};
    }

    store_content &content;
};

} // namespace chervilbend::fleet::test
