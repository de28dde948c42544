#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/fakes/virtual_time.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace asio = boost::asio;
using namespace chervilbend;

/// Guards against a fake log that lacks the failures of a real one: responses lost after the append, expired records, outages.
class in_process_log_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(in_process_log_service_test);
    CPPUNIT_TEST(wakesAWaitingReader);
    CPPUNIT_TEST(keepsARecordWhoseAnswerIsLost);
    CPPUNIT_TEST(appendsLateRecordsAfterTheAnswerTimeout);
    CPPUNIT_TEST(expiresRecordsByAgeAndCount);
    CPPUNIT_TEST(failsDuringAnOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    // CppUnit constructs all fixtures before the first test, so the time source is installed here.
    void setUp() override
    {
        m_time.emplace(m_context);
        m_store = std::make_shared<fakes::log_store>(shortRetention());
        m_service.emplace(m_store);
    }

    void tearDown() override
    {
        m_time.reset();
    }

    void wakesAWaitingReader()
    {
        startRead(0, 10'000);
        CPPUNIT_ASSERT(!m_readDone);
        m_store->append("a");
        m_time->runUntilIdle();
        CPPUNIT_ASSERT(m_readDone && m_page);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_page->records.at(0).payload);
    }

    void keepsARecordWhoseAnswerIsLost()
    {
        log_faults faults;
        faults.lostAnswers = 1;
        m_store->setFaults(faults);
        CPPUNIT_ASSERT(m_store->append("a").status == external::append_status::unknown);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), m_store->head().count());
    }

    void appendsLateRecordsAfterTheAnswerTimeout()
    {
        log_faults faults;
        faults.lateAppends = 1;
        m_store->setFaults(faults);
        CPPUNIT_ASSERT(m_store->append("a").status == external::append_status::unknown);
        startRead(0, 60'000);
        m_time->advance(faults.answerTimeout - base::milliseconds(1));
        CPPUNIT_ASSERT(!m_readDone);
        m_time->advance(faults.lateBy + base::milliseconds(1));
        CPPUNIT_ASSERT(m_readDone);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_page->records.size());
    }

    void expiresRecordsByAgeAndCount()
    {
        for (const char *payload : {"a", "b", "c", "d"}) {
            m_store->append(payload);
            m_time->advance(base::milliseconds(400));
        }
        const external::log_page page = m_store->read(base::log_offset(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), page.firstRetained.count());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page.records.at(0).payload);
        m_time->advance(base::milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), m_store->read(base::log_offset(0)).firstRetained.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), m_store->head().count());
    }

    void failsDuringAnOutage()
    {
        startRead(0, 10'000);
        log_faults faults;
        faults.outage = true;
        m_store->setFaults(faults);
        m_time->runUntilIdle();
        CPPUNIT_ASSERT(m_readDone && !m_page);
        CPPUNIT_ASSERT(m_store->append("a").status == external::append_status::refused);
    }

private:
    using log_faults = fakes::log_faults;

    void startRead(std::int64_t after, std::int64_t waitMs)
    {
        const auto task = [](in_process_log_service_test *self, base::log_offset from, base::milliseconds wait) -> asio::awaitable<void> {
            self->m_page = co_await self->m_service->read(from, wait);
            self->m_readDone = true;
        };
        asio::co_spawn(m_context, task(this, base::log_offset(after), base::milliseconds(waitMs)), asio::detached);
        m_time->runUntilIdle();
    }

    static fakes::log_store_options shortRetention()
    {
        fakes::log_store_options options;
        options.retention = base::milliseconds(2'000);
        options.maxRecords = 3;
        return options;
    }

    asio::io_context m_context;
    std::optional<fakes::virtual_time> m_time;
    std::shared_ptr<fakes::log_store> m_store;
    std::optional<fakes::in_process_log_service> m_service;
    bool m_readDone = false;
    std::optional<external::log_page> m_page;
};

CPPUNIT_TEST_SUITE_REGISTRATION(in_process_log_service_test);
