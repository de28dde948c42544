#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/membership/message_signer.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using membership::message_signer;

/// Guards against accepting forged, altered, expired or replayed messages.
class message_signer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_signer_test);
    CPPUNIT_TEST(refusesAlteredMessages);
    CPPUNIT_TEST(acceptsBothKeysDuringRotation);
    CPPUNIT_TEST(refusesOldAndFutureMessages);
    CPPUNIT_TEST(refusesReplaysWithBoundedMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesAlteredMessages()
    {
        base::manual_time_source time;
        message_signer signer({"key", ""});
        const std::string signature = signer.sign("body", "request");
        CPPUNIT_ASSERT(!signer.verify(signature, "Body", "request"));
        CPPUNIT_ASSERT(!signer.verify(signature, "body", "other request"));
        CPPUNIT_ASSERT(!signer.verify(signature, "tbody", "reques"));
        std::string later = signature;
        later[12] = later[12] == '9' ? '8' : '9';
        for (const std::string &forged : {later, std::string(), std::string("1"), std::string("1."), std::string(".."), signature.substr(0, 40)}) {
            CPPUNIT_ASSERT_MESSAGE(forged, !signer.verify(forged, "body", "request"));
        }
        CPPUNIT_ASSERT(signer.lastReason().kind == base::error_kind::unauthorized);
        CPPUNIT_ASSERT(signer.verify(signature, "body", "request"));
        message_signer withoutKey({"", ""});
        CPPUNIT_ASSERT_MESSAGE("an empty key must not be accepted", !withoutKey.verify(withoutKey.sign("body"), "body"));
    }

    void acceptsBothKeysDuringRotation()
    {
        base::manual_time_source time;
        message_signer stale({"old", "new"});
        message_signer fresh({"new", "old"});
        CPPUNIT_ASSERT(fresh.verify(stale.sign("a"), "a"));
        CPPUNIT_ASSERT(stale.verify(fresh.sign("b"), "b"));
        fresh.setKeys({"new", ""});
        CPPUNIT_ASSERT(!fresh.verify(stale.sign("c"), "c"));
    }

    void refusesOldAndFutureMessages()
    {
        base::manual_time_source time;
        message_signer signer({"key", ""});
        const std::string old = signer.sign("a");
        time.advance(message_signer::maxClockSkew + base::milliseconds(1));
        CPPUNIT_ASSERT(!signer.verify(old, "a"));
        const std::string ahead = signer.sign("b");
        time.advance(-message_signer::maxClockSkew - base::milliseconds(1));
        CPPUNIT_ASSERT(!signer.verify(ahead, "b"));
    }

    void refusesReplaysWithBoundedMemory()
    {
        base::manual_time_source time;
        message_signer sender({"key", ""});
        message_signer receiver({"key", ""}, 3);
        std::vector<std::string> sent;
        for (int i = 0; i < 10; ++i) {
            time.advance(base::milliseconds(1));
            sent.push_back(sender.sign("a"));
            CPPUNIT_ASSERT_MESSAGE("equal bodies of one sender must not be taken for replays", receiver.verify(sent.back(), "a"));
        }
        for (const std::string &signature : sent) {
            CPPUNIT_ASSERT_MESSAGE("a message that was evicted from the replay cache must not be accepted again", !receiver.verify(signature, "a"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_signer_test);
