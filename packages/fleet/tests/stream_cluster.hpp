#pragma once

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/published_versions.hpp>
#include <chervilbend/fleet/recorded_stream_origins.hpp>
#include <chervilbend/fleet/stream_store.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::fleet::test
{

inline const base::service_id chat("chat");
inline const base::software_version v1("v1");
inline const base::software_version v2("v2");

/// What the store holds for streams, and how it behaves.
struct stream_content {
    published_page published;
    std::vector<stream_origin> origins;
    /// Position of the first record that is retained.
    std::int64_t firstOrigin = 0;
    int calls = 0;
    int publications = 0;
    bool isDown = false;
    bool refusesWrites = false;
};

/// A store that answers from stream_content after a few milliseconds.
class memory_stream_store : public stream_store
{
public:
    explicit memory_stream_store(stream_content &shared)
        : m_content(shared)
    {
    }

    std::int64_t restorations() const override
    {
        return m_content.published.restorations;
    }

    boost::asio::awaitable<std::optional<published_page>> publishedVersions() override
    {
        const bool isAnswered = co_await answer();
        co_return isAnswered ? std::optional(m_content.published) : std::nullopt;
    }

    boost::asio::awaitable<lease_write_status> publishVersions(version_table versions, std::int64_t expected) override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered || m_content.refusesWrites) {
            co_return lease_write_status::refused;
        }
        if (expected != m_content.published.end) {
            co_return lease_write_status::conflict;
        }
        ++m_content.publications;
        ++m_content.published.end;
        m_content.published.versions = std::move(versions);
        co_return lease_write_status::written;
    }

    boost::asio::awaitable<bool> appendOrigins(std::vector<stream_origin> origins) override
    {
        const bool isAnswered = co_await answer();
        if (isAnswered) {
            m_content.origins.insert(m_content.origins.end(), origins.begin(), origins.end());
        }
        co_return isAnswered;
    }

    boost::asio::awaitable<std::optional<origin_page>> originsFrom(std::int64_t position, base::milliseconds wait) override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered) {
            co_return std::nullopt;
        }
        const base::time_point until = base::clock::now() + wait;
        const auto end = [this] {
            return static_cast<std::int64_t>(m_content.origins.size());
        };
        while (position >= end() && base::clock::now() < until) {
            co_await net::sleepFor(base::milliseconds(10));
        }
        origin_page page;
        const std::int64_t first = std::max(position, m_content.firstOrigin);
        page.origins.assign(m_content.origins.begin() + static_cast<std::ptrdiff_t>(std::min(first, end())), m_content.origins.end());
        page.next = page.end = end();
        co_return page;
    }

private:
    boost::asio::awaitable<bool> answer()
    {
        ++m_content.calls;
        co_await net::sleepFor(base::milliseconds(4));
        if (m_content.isDown) {
            fail(base::error_kind::logUnavailable, "down");
        }
        co_return !m_content.isDown;
    }

    stream_content &m_content;
};

inline endpoint_entry entryOf(const std::string &id, const base::software_version &version, std::int64_t heartbeat = 1)
{
    endpoint_entry entry;
    entry.id = base::endpoint_id(id);
    entry.service = chat;
    entry.address = {"127.0.0.1", 4000};
    entry.softwareVersion = version;
    entry.startedAt = 5;
    entry.heartbeat = heartbeat;
    return entry;
}

/// One process of a node. It is never destroyed before the event loop, like a node's components.
struct test_node {
    test_node(boost::asio::io_context &context, stream_content &content, std::uint64_t seed)
        : store(content)
        , versions(store, registry, seed)
        , origins(store, versions)
    {
        versions.onChange([this] { origins.versionsChanged(); });
        boost::asio::co_spawn(context, versions.run(), boost::asio::detached);
        boost::asio::co_spawn(context, origins.run(), boost::asio::detached);
    }

    void read(const std::vector<endpoint_entry> &entries)
    {
        std::vector<endpoint_change> changes;
        changes.reserve(entries.size());
        for (const endpoint_entry &entry : entries) {
            changes.push_back({entry.id, entry});
        }
        registry.replace(changes, base::clock::now(), base::clock::now());
        versions.endpointsChanged();
    }

    memory_stream_store store;
    endpoint_registry registry;
    published_versions versions;
    recorded_stream_origins origins;
};

/// Nodes that share one store, in virtual time.
struct stream_cluster {
    test_node &start()
    {
        nodes.push_back(std::make_unique<test_node>(context, content, nodes.size() + 1));
        return *nodes.back();
    }

    /// A node that has read these registrations half a second ago, which is long enough for their versions to be published.
    test_node &startWith(const std::vector<endpoint_entry> &entries)
    {
        test_node &node = start();
        node.read(entries);
        time.advance(base::milliseconds(500));
        return node;
    }

    /// The store comes back from an older copy of itself.
    void restore(const published_page &copy)
    {
        content.published.versions = copy.versions;
        ++content.published.restorations;
        content.published.end = content.published.restorations * 1'000'000;
    }

    origin_lookup find(test_node &node, std::optional<std::uint64_t> stream)
    {
        std::optional<origin_lookup> result;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> { result = co_await node.origins.find(chat, stream, base::clock::now() + base::milliseconds(1'000)); },
            boost::asio::detached);
        const base::time_point startedAt = base::clock::now();
        while (!result && base::clock::now() - startedAt < base::milliseconds(2'000)) {
            time.advance(base::milliseconds(10));
        }
        CPPUNIT_ASSERT_MESSAGE("the lookup must end", result);
        lookupTime = base::clock::now() - startedAt;
        return *result;
    }

    stream_content content;
    boost::asio::io_context context;
    fakes::virtual_time time{context};
    std::vector<std::unique_ptr<test_node>> nodes;
    base::milliseconds lookupTime{0};
};

} // namespace chervilbend::fleet::test
