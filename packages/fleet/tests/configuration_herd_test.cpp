#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

constexpr double megabytesPerSecond = 80;
constexpr double storeBytesPerMs = megabytesPerSecond * 1'000;
/// A link of 10 Mbit/s.
constexpr double linkBytesPerMs = 1'250;
/// A call is given up if its answer has not begun after this time and the allowance.
constexpr base::milliseconds answerTimeout{900};
constexpr base::milliseconds exchangeInterval{250};
constexpr base::milliseconds propagationBound{3'000};

/// What the nodes share: the versions, and the rate at which the store sends. It sends what was asked for first, also to nodes that have given up.
struct shared_store {
    std::vector<std::int64_t> versions{1};
    std::size_t recordBytes = 0;
    /// When the store has sent all that was asked for, in ms.
    double busyUntil = 0;
};

/// A node's reads of the store.
class distant_reader : public test::memory_store
{
public:
    distant_reader(test::store_content &content, shared_store &shared)
        : memory_store(content)
        , m_shared(shared)
    {
    }

    asio::awaitable<std::optional<configuration_page>> newestConfiguration() override
    {
        constexpr double encodedSizeFactor = 4.0 / 3;
        co_return co_await transfer(pageOf(m_shared.versions.size() - 1), encodedSizeFactor * static_cast<double>(m_shared.recordBytes));
    }

    asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t position, base::milliseconds wait) override
    {
        const base::time_point until = base::clock::now() + wait;
        const auto offset = static_cast<std::size_t>(position);
        while (offset >= m_shared.versions.size() && base::clock::now() < until) {
            co_await net::sleepFor(base::milliseconds(10));
        }
        const configuration_page page = pageOf(offset);
        co_return co_await transfer(page, page.newest ? static_cast<double>(m_shared.recordBytes) : 0);
    }

private:
    configuration_page pageOf(std::size_t offset) const
    {
        configuration_page page;
        page.end = static_cast<std::int64_t>(m_shared.versions.size());
        page.next = page.end;
        if (offset < m_shared.versions.size()) {
            page.newest.emplace().version = m_shared.versions[offset];
            page.record = std::string(m_shared.recordBytes, 'x');
            page.next = static_cast<std::int64_t>(offset) + 1;
        }
        page.isComplete = page.next == page.end;
        return page;
    }

    asio::awaitable<std::optional<configuration_page>> transfer(configuration_page page, double bytes)
    {
        const auto now = static_cast<double>(base::clock::now().time_since_epoch().count());
        const double beginsAt = std::max(now, m_shared.busyUntil);
        m_shared.busyUntil = beginsAt + bytes / storeBytesPerMs;
        const auto untilBegun = base::milliseconds(static_cast<std::int64_t>(beginsAt - now)) + delay;
        co_await net::sleepFor(std::min(untilBegun, answerTimeout + answerAllowance()));
        if (untilBegun > answerTimeout + answerAllowance()) {
            co_return fail(base::error_kind::logUnavailable, "no answer in time");
        }
        notifyConfigurationArriving();
        co_await net::sleepFor(base::milliseconds(static_cast<std::int64_t>(bytes / linkBytesPerMs)));
        co_return page;
    }

    shared_store &m_shared;
};

struct fleet_of_small_hosts {
    fleet_of_small_hosts(int count, std::size_t recordBytes)
    {
        shared.recordBytes = recordBytes;
        for (int i = 0; i < count; ++i) {
            stores.push_back(std::make_unique<distant_reader>(content, shared));
            nodes.push_back(std::make_unique<configuration_follower>(*stores.back(), i + 1));
            nodes.back()->setNodeCount(count);
            nodes.back()->setStoreReadRate(megabytesPerSecond);
            asio::co_spawn(context, nodes.back()->run(), asio::detached);
        }
        holder().setHolder(true);
    }

    ~fleet_of_small_hosts()
    {
        context.stop();
    }

    /// The lease holder is a small host like all others.
    configuration_follower &holder()
    {
        return *nodes.front();
    }

    void advance(base::milliseconds duration)
    {
        for (base::milliseconds elapsed{0}; elapsed < duration; elapsed += exchangeInterval) {
            time.advance(exchangeInterval);
            for (const auto &node : nodes) {
                if (node != nodes.front() && holder().position()) {
                    node->noteHolderPosition(*holder().position(), holder().confirmedAt());
                }
            }
        }
    }

    std::size_t nodesWithTheNewestVersion() const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes.begin(), nodes.end(), [this](const auto &node) { return node->current() && node->current()->version == shared.versions.back(); }));
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::store_content content;
    shared_store shared;
    std::vector<std::unique_ptr<distant_reader>> stores;
    std::vector<std::unique_ptr<configuration_follower>> nodes;
};

} // namespace

/// Guards against nodes that all read a large configuration at the same time, and give up before the store has come to them.
class configuration_herd_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_herd_test);
    CPPUNIT_TEST(newVersionsReachAllSmallHostsWithinTheBound);
    CPPUNIT_TEST(allSmallHostsStartAtTheSameTime);
    CPPUNIT_TEST(newVersionReachesTheLargestFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    void newVersionsReachAllSmallHostsWithinTheBound()
    {
        constexpr std::size_t recordBytes = 1'100'000;
        fleet_of_small_hosts fleet(62, recordBytes);
        fleet.advance(base::milliseconds(10'000));
        for (int i = 0; i < 3; ++i) {
            fleet.shared.versions.push_back(fleet.shared.versions.back() + 1);
            fleet.advance(propagationBound);
            CPPUNIT_ASSERT_EQUAL(fleet.nodes.size(), fleet.nodesWithTheNewestVersion());
        }
    }

    void allSmallHostsStartAtTheSameTime()
    {
        constexpr std::size_t recordBytes = 1'330'000;
        fleet_of_small_hosts fleet(62, recordBytes);
        fleet.advance(propagationBound + exchangeInterval);
        CPPUNIT_ASSERT_EQUAL(fleet.nodes.size(), fleet.nodesWithTheNewestVersion());
    }

    /// The store alone takes longer for this than a version may take; but the reads must not be given up and begun again for ever.
    void newVersionReachesTheLargestFleet()
    {
        constexpr std::size_t recordBytes = 784'000;
        fleet_of_small_hosts fleet(370, recordBytes);
        fleet.advance(base::milliseconds(60'000));
        fleet.shared.versions.push_back(2);
        const double sendTime = 370.0 * recordBytes / storeBytesPerMs;
        fleet.advance(propagationBound + base::milliseconds(static_cast<std::int64_t>(sendTime)));
        CPPUNIT_ASSERT_EQUAL(fleet.nodes.size(), fleet.nodesWithTheNewestVersion());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_herd_test);
