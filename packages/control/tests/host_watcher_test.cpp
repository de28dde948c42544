#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/control/host_watcher.hpp>
#include <chervilbend/external/host_list.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace chervilbend;

namespace
{

class unused_host_list : public external::host_list
{
public:
    boost::asio::awaitable<std::optional<std::vector<external::host_entry>>> fetch() override
    {
        co_return std::nullopt;
    }
};

class counting_listener : public control::host_listener
{
public:
    void hostsChanged(const std::vector<external::host_entry> &hosts) override
    {
        ++changes;
        size = hosts.size();
    }

    int changes = 0;
    std::size_t size = 0;
};

std::vector<external::host_entry> hostsNamed(const std::string &ids)
{
    std::vector<external::host_entry> hosts;
    for (const char id : ids) {
        external::host_entry host;
        host.id = id;
        hosts.push_back(host);
    }
    return hosts;
}

} // namespace

/// Guards against a faulty host list taking most endpoints out of service at once.
class host_watcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_watcher_test);
    CPPUNIT_TEST(notifiesListenersOfChangesOnly);
    CPPUNIT_TEST(rejectsAListThatLostMostHosts);
    CPPUNIT_TEST(acceptsAShrunkenListReadThreeTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    host_watcher_test()
        : m_watcher(m_list, base::milliseconds(1'000))
    {
        m_watcher.addListener(m_listener);
    }

    void notifiesListenersOfChangesOnly()
    {
        m_watcher.accept(hostsNamed("ab"));
        m_watcher.accept(hostsNamed("ba"));
        CPPUNIT_ASSERT_EQUAL(1, m_listener.changes);
        m_watcher.accept(hostsNamed("abc"));
        CPPUNIT_ASSERT_EQUAL(2, m_listener.changes);
    }

    void rejectsAListThatLostMostHosts()
    {
        m_watcher.accept(hostsNamed("abcde"));
        m_watcher.accept({});
        m_watcher.accept(hostsNamed("ab"));
        m_watcher.accept({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_watcher.hosts().size());
        m_watcher.accept(hostsNamed("abcd"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_listener.size);
    }

    void acceptsAShrunkenListReadThreeTimes()
    {
        m_watcher.accept(hostsNamed("abcde"));
        m_watcher.accept(hostsNamed("a"));
        m_watcher.accept(hostsNamed("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_listener.size);
        m_watcher.accept(hostsNamed("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_listener.size);
    }

private:
    unused_host_list m_list;
    control::host_watcher m_watcher;
    counting_listener m_listener;
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_watcher_test);
