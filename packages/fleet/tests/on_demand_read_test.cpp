#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/on_demand_read.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <stdexcept>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

/// Guards against tasks that wait for a read which has long ended.
class on_demand_read_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(on_demand_read_test);
    CPPUNIT_TEST(readThatThrowsHasFailed);
    CPPUNIT_TEST_SUITE_END();

public:
    void readThatThrowsHasFailed()
    {
        asio::io_context context;
        fakes::virtual_time time(context);
        bool throws = true;
        on_demand_read read([&]() -> asio::awaitable<bool> {
            if (throws) {
                throw std::runtime_error("on purpose");
            }
            co_return true;
        });
        const auto result = [&] {
            std::optional<bool> succeeded;
            asio::co_spawn(
                context, [&]() -> asio::awaitable<void> { succeeded = co_await read.read(base::clock::now() + base::milliseconds(10'000)); }, asio::detached);
            time.advance(base::milliseconds(100));
            return succeeded;
        };
        CPPUNIT_ASSERT_MESSAGE("the caller must not wait for its deadline", result() == std::optional(false));
        throws = false;
        CPPUNIT_ASSERT(result() == std::optional(true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(on_demand_read_test);
