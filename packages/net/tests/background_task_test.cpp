#include "raw_peer.hpp"

#include <chervilbend/net/background_task.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;
namespace asio = boost::asio;

/// Guards against a task that ends for good, without a word, when something in it throws once.
class background_task_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(background_task_test);
    CPPUNIT_TEST(failedTaskRunsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void failedTaskRunsAgain()
    {
        asio::io_context context;
        int runs = 0;
        runInBackground(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
            co_await sleepFor(base::milliseconds(1));
            if (++runs == 1) {
                throw std::runtime_error("on purpose");
            }
        });
        runUntilDone(context, [&]() -> asio::awaitable<void> { co_await waitUntil([&] { return runs == 2; }); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(background_task_test);
