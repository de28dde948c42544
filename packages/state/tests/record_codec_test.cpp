#include "state_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::state;

/// Guards against malformed records, or records of newer nodes, that stop a node, are misinterpreted, or cause valid entries of the same
/// record to be lost.
class record_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_codec_test);
    CPPUNIT_TEST(unknownKindsAndNewerVersionsAreSkipped);
    CPPUNIT_TEST(malformedRecordsAreCounted);
    CPPUNIT_TEST(binaryBodiesSurviveEncoding);
    CPPUNIT_TEST(malformedDumpsAreRejected);
    CPPUNIT_TEST(onlyOneConcurrentPublishIsAccepted);
    CPPUNIT_TEST(repeatedPublishDoesNotRevert);
    CPPUNIT_TEST(repeatedMinuteIsCountedOnce);
    CPPUNIT_TEST_SUITE_END();

    static publish_entry publish(std::int64_t base, const char *id, const char *prefix)
    {
        config::service_declaration declaration;
        declaration.service = base::service_id("s");
        if (*prefix) {
            declaration.routes.resize(1);
            declaration.routes[0].prefix = prefix;
        }
        return {base::log_offset(base), id, "author", declaration};
    }

    static std::string currentPrefix(const state_fixture &log)
    {
        const auto found = log.state.services().find(base::service_id("s"));
        return found == log.state.services().end() ? "" : found->second.declaration.routes.at(0).prefix;
    }

public:
    void unknownKindsAndNewerVersionsAreSkipped()
    {
        const decoded_record record = decodeRecord(R"([{"kind":"later","v":1},{"kind":"ended","v":2,"node":"a","life":1},)"
                                                   R"({"kind":"ended","v":1,"node":"a","life":1,"more":true}])");
        CPPUNIT_ASSERT_EQUAL(2, record.skipped);
        CPPUNIT_ASSERT_EQUAL(0, record.malformed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), record.entries.size());
    }

    void malformedRecordsAreCounted()
    {
        state_fixture log;
        const std::int64_t before = log.head;
        for (const char *payload : {"", "{", "{}", "[1]", "[{}]", R"([{"kind":"ended","v":1,"node":7,"life":1}])", R"([{"kind":"lease","v":1}])"}) {
            log.state.apply(base::log_offset(++log.head), payload);
        }
        CPPUNIT_ASSERT_EQUAL(log.head - before, log.state.counters().malformed);
        CPPUNIT_ASSERT_EQUAL(base::log_offset(log.head), log.state.appliedOffset());
    }

    void binaryBodiesSurviveEncoding()
    {
        std::string bytes;
        for (int byte = 0; byte < 256; ++byte) {
            bytes += static_cast<char>(byte);
        }
        const std::vector<entry> entries{outcome_entry{"k", "c", base::run_state::ran, 200, "t", bytes}};
        const decoded_record record = decodeRecord(encodeRecord(entries));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), record.entries.size());
        CPPUNIT_ASSERT_EQUAL(bytes, std::get<outcome_entry>(record.entries[0]).body);
    }

    void malformedDumpsAreRejected()
    {
        state_fixture log;
        log.assign("n", "m@1", 10);
        const std::string dump = log.state.dump();
        replicated_state restored;
        for (std::size_t length = 0; length < dump.size(); length += 7) {
            CPPUNIT_ASSERT(!restored.restore(std::string_view(dump).substr(0, length)));
        }
        CPPUNIT_ASSERT(restored.restore(dump));
        CPPUNIT_ASSERT(!restored.restore(dump));
        CPPUNIT_ASSERT_EQUAL(dump, restored.dump());
    }

    void onlyOneConcurrentPublishIsAccepted()
    {
        state_fixture log;
        const base::log_offset version = log.add(publish(0, "p1", "/first"));
        log.add(publish(0, "p2", "/second"));
        CPPUNIT_ASSERT_EQUAL(std::string("/first"), currentPrefix(log));
        CPPUNIT_ASSERT(log.state.publish("p1")->accepted && !log.state.publish("p2")->accepted);
        log.add(publish(version.count(), "p3", "/third"));
        CPPUNIT_ASSERT_EQUAL(std::string("/third"), currentPrefix(log));
    }

    /// An append whose acknowledgement was lost may be repeated, so the same publish can be in the log twice.
    void repeatedPublishDoesNotRevert()
    {
        state_fixture log;
        const base::log_offset version = log.add(publish(0, "p1", "/first"));
        log.add(publish(version.count(), "p2", ""));
        log.add(publish(0, "p1", "/first"));
        CPPUNIT_ASSERT_EQUAL(std::string(), currentPrefix(log));
        log.add(publish(0, "p3", "/again"));
        CPPUNIT_ASSERT_EQUAL(std::string("/again"), currentPrefix(log));
    }

    void repeatedMinuteIsCountedOnce()
    {
        state_fixture log;
        constexpr base::milliseconds minute(1'767'225'600'000);
        const minute_counts_entry entry{base::node_id("a"), base::incarnation(1), minute, {{"requests", 5}}};
        log.add({entry, entry});
        const auto &days = log.state.days();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), days.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), days.begin()->second.counts.at("requests"));
        CPPUNIT_ASSERT_EQUAL(1, days.begin()->second.nodes.at(base::node_id("a")).minutes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_codec_test);
