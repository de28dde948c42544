#include "metadata_store_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <utility>

namespace http = boost::beast::http;
using namespace chervilbend;
using namespace chervilbend::fakes::test;

namespace
{

/// Keys with characters that have a meaning in a query or in JSON, and bytes that are not UTF-8; in byte order.
const texts oddKeys{"\"\\/", "a b", "a#b", "a%41", "a%zz", "a&b=1", "a+b", "a=b", "a\x7f", "b\n\x01", "c\xc3\xa9", "\x80", "\xff\xfe"};

} // namespace

/// Guards against a stand-in that hides from tests what the platform's store does to a node that starts or falls behind.
class metadata_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metadata_store_test);
    CPPUNIT_TEST(newestRecordsComeInPagesInByteOrder);
    CPPUNIT_TEST(pageHoldsAtMostItsBytesButOneRecord);
    CPPUNIT_TEST(defaultPageEndsAt500RecordsOr1Mb);
    CPPUNIT_TEST(droppedKeysCountForNoPage);
    CPPUNIT_TEST(newestRecordHasItsValueAndOffset);
    CPPUNIT_TEST(escapedKeyContinuesAfterIt);
    CPPUNIT_TEST(unescapedKeyIsReadAsHttpLibrariesDo);
    CPPUNIT_TEST(positionNeedsNoExistingKey);
    CPPUNIT_TEST(firstOfARepeatedParameterCounts);
    CPPUNIT_TEST(malformedEscapeIsRefused);
    CPPUNIT_TEST(missingTopicAndUnreadableNumbersAreRefused);
    CPPUNIT_TEST(requestThatIsNoHttpIsRefused);
    CPPUNIT_TEST(keysAreJsonStrings);
    CPPUNIT_TEST(bytesThatAreNotUtf8StandInOneOfTwoForms);
    CPPUNIT_TEST(topicThatWasNeverWrittenIsEmpty);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<store_fixture>();
    }

    void tearDown() override
    {
        m_fixture.reset();
    }

    /// A store that returned all records at once would hide a client that fails at its second page; one with another order, a client that skips keys.
    void newestRecordsComeInPagesInByteOrder()
    {
        m_fixture->put({"b", "\xc3\xa9", "B", "c", "a", "b"});
        m_fixture->store.setPageLimit({.records = 2});
        const newest_answer first = m_fixture->newest();
        assertEqual({"B", "a"}, first.keys);
        CPPUNIT_ASSERT(first.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), first.end);
        const newest_answer second = m_fixture->newest("&after=a");
        assertEqual({"b", "c"}, second.keys);
        CPPUNIT_ASSERT(second.hasMore);
        const newest_answer third = m_fixture->newest("&after=c");
        assertEqual({"\xc3\xa9"}, third.keys);
        CPPUNIT_ASSERT(!third.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), third.end);
        // A page that ends with the last key has nothing behind it.
        const newest_answer last = m_fixture->newest("&after=b");
        assertEqual({"c", "\xc3\xa9"}, last.keys);
        CPPUNIT_ASSERT(!last.hasMore);
    }

    /// A limit that counted no bytes would hide a client that takes few records for the end; one that let no large record pass would hold a client for ever.
    void pageHoldsAtMostItsBytesButOneRecord()
    {
        m_fixture->put({"a", "b", "c"}, "1234");
        m_fixture->put({"d"}, std::string(100, 'x'));
        m_fixture->put({"e"}, "1234");
        m_fixture->store.setPageLimit({.records = 500, .bytes = 8});
        assertEqual({"a", "b"}, m_fixture->newest().keys);
        assertEqual({"c"}, m_fixture->newest("&after=b").keys);
        const newest_answer large = m_fixture->newest("&after=c");
        assertEqual({"d"}, large.keys);
        CPPUNIT_ASSERT(large.hasMore);
        assertEqual({"e"}, m_fixture->newest("&after=d").keys);
        m_fixture->store.setPageLimit({.records = 0, .bytes = 0});
        assertEqual({"b"}, m_fixture->newest("&after=a").keys);
    }

    /// Other limits than the platform's would keep a test with many or large records from reaching a second page. And a page of more bytes than the socket's
    /// buffer must arrive whole.
    void defaultPageEndsAt500RecordsOr1Mb()
    {
        for (int i = 1'000; i < 1'501; ++i) {
            m_fixture->store.putOperatorRecord(std::to_string(i), "v");
        }
        const newest_answer many = m_fixture->newest();
        CPPUNIT_ASSERT_EQUAL(std::size_t(500), many.keys.size());
        CPPUNIT_ASSERT(many.hasMore);
        assertEqual({"1500"}, m_fixture->newest("&after=1499").keys);
        const std::string half(524'288, 'x');
        m_fixture->put({"a", "b", "c"}, half);
        const newest_answer large = m_fixture->newest("&after=2");
        assertEqual({"a", "b"}, large.keys);
        CPPUNIT_ASSERT(large.values.at(1) == half);
        CPPUNIT_ASSERT(large.hasMore);
    }

    /// Keys without a value must neither be listed nor announced: a client would read on for nothing.
    void droppedKeysCountForNoPage()
    {
        m_fixture->put({"a", "b", "c", "d"});
        m_fixture->put({"b", "d"}, "");
        m_fixture->store.setPageLimit({.records = 2});
        const newest_answer page = m_fixture->newest();
        assertEqual({"a", "c"}, page.keys);
        CPPUNIT_ASSERT(!page.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), page.end);
        m_fixture->put({"b"}, "again");
        assertEqual({"a", "b"}, m_fixture->newest().keys);
    }

    /// Values or offsets of older records would let a node start with an old configuration; the operator's other records must not replace it.
    void newestRecordHasItsValueAndOffset()
    {
        m_fixture->store.putConfiguration("{\"version\":1}");
        m_fixture->store.putOperatorRecord("note", std::string("\0\xff", 2));
        m_fixture->store.putConfiguration("{\"version\":2}");
        const newest_answer page = m_fixture->newest();
        assertEqual({"config", "note"}, page.keys);
        assertEqual({"{\"version\":2}", std::string("\0\xff", 2)}, page.values);
        CPPUNIT_ASSERT((page.offsets == std::vector<std::int64_t>{2, 1}));
    }

    /// A store that did not decode the query would accept a client that escapes nothing, and fail one that does it right.
    void escapedKeyContinuesAfterIt()
    {
        m_fixture->put(oddKeys);
        m_fixture->store.setPageLimit({.records = 1});
        texts read;
        std::string query;
        for (std::size_t pages = 0; pages < oddKeys.size(); ++pages) {
            const newest_answer page = m_fixture->newest(query);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.keys.size());
            CPPUNIT_ASSERT_EQUAL(pages + 1 < oddKeys.size(), page.hasMore);
            read.push_back(page.keys[0]);
            query = "&after=" + escaped(page.keys[0]);
        }
        assertEqual(oddKeys, read);
        m_fixture->store.setPageLimit({});
        const std::string lowerCase = "&after=%c3%A9";
        assertEqual({"\xff\xfe"}, m_fixture->newest(lowerCase).keys);
    }

    /// A client that escapes nothing must get the page after another key, as the platform's store would give it, and not the one that it wants.
    void unescapedKeyIsReadAsHttpLibrariesDo()
    {
        m_fixture->put({"a", "a b", "a#b", "a%41", "a&b=1", "a+b", "a=b", "aA", "ab"});
        assertEqual({"a#b", "a%41", "a&b=1", "a+b", "a=b", "aA", "ab"}, m_fixture->newest("&after=a+b").keys, "a+b is a space");
        assertEqual({"ab"}, m_fixture->newest("&after=a%41").keys, "a%41 is aA");
        const texts afterA{"a b", "a#b", "a%41", "a&b=1", "a+b", "a=b", "aA", "ab"};
        assertEqual(afterA, m_fixture->newest("&after=a&b=1").keys, "a parameter ends at &");
        assertEqual(afterA, m_fixture->newest("&after=a#b").keys, "a query ends at #");
        assertEqual({"aA", "ab"}, m_fixture->newest("&after=a=b").keys, "a value may hold =");
        for (const std::string key : {"a\"", "a\\", "a\x80", "a\xc3\xa9"}) {
            m_fixture->put({key});
            assertEqual(m_fixture->newest("&after=" + escaped(key)).keys, m_fixture->newest("&after=" + key).keys, "other bytes stand for themselves");
            m_fixture->put({key}, "");
        }
    }

    /// Keys may be dropped between two pages: a store that looked for the key itself would begin again or end there.
    void positionNeedsNoExistingKey()
    {
        m_fixture->put({"", "b", "d"});
        assertEqual({"d"}, m_fixture->newest("&after=c").keys);
        assertEqual({"b", "d"}, m_fixture->newest("&after=%00").keys);
        const newest_answer behind = m_fixture->newest("&after=e");
        CPPUNIT_ASSERT(behind.keys.empty() && !behind.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), behind.end);
        assertEqual({"", "b", "d"}, m_fixture->newest("&after=").keys, "an empty position is none");
        assertEqual({"", "b", "d"}, m_fixture->newest("&after").keys, "one without = is empty");
        // Which also means that a client can't continue after an empty key by naming it.
        m_fixture->store.setPageLimit({.records = 1});
        assertEqual({""}, m_fixture->newest("&after=").keys);
    }

    /// A store that took the last one would let a client pass that appends a second parameter of the same name out of an unescaped key.
    void firstOfARepeatedParameterCounts()
    {
        m_fixture->put({"a", "b", "c"});
        assertEqual({"c"}, m_fixture->newest("&after=b&after=a&topic=keyed.servers&part=7").keys);
    }

    /// A lenient store would hide the clients that never start because the platform's store refuses their reads.
    void malformedEscapeIsRefused()
    {
        m_fixture->put({"a"});
        const std::string newestTarget = newestPath + operatorQuery;
        const std::string readTarget = readPath + operatorQuery + "&from=0";
        const std::string appendTarget = appendPath + "?topic=log&part=0";
        for (const std::string part : {"&after=%zz", "&after=%", "&after=%4", "&after=a%4g", "&after=%+1", "&after=%-1", "&after=%%41", "&%zz=1"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 400, m_fixture->status(newestTarget + part));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 400, m_fixture->status(readTarget + part));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 400, m_fixture->status(appendTarget + part, ""));
        }
    }

    /// As above. A number read as 0 would send a client to the beginning of the log, or hold its call for no time.
    void missingTopicAndUnreadableNumbersAreRefused()
    {
        m_fixture->put({"a"});
        for (const std::string target : {"/api/log-newest",
                                         "/api/log-newest?",
                                         "/api/log-newest?part=0",
                                         "/api/log-newest?topic=&part=0",
                                         "/api/log-newest?topic=keyed.op",
                                         "/api/log-newest?topic=keyed.op&part=1",
                                         "/api/log-newest?topic=keyed.op&part=x"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, 400, m_fixture->status(target));
        }
        CPPUNIT_ASSERT_EQUAL(400, m_fixture->status(readPath + operatorQuery));
        const std::string fromTarget = readPath + operatorQuery + "&from=";
        const std::string waitTarget = readPath + operatorQuery + "&from=0&waitMs=";
        const std::string sizeTarget = readPath + operatorQuery + "&from=0&maxKb=";
        const std::string positionTarget = appendPath + "?topic=log&part=0&at=";
        for (const std::string number : {"", "x", "1x", "-1", "+1", "%2B1", "0x1", "1.0", "%201", "18446744073709551616"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400, m_fixture->status(fromTarget + number));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400, m_fixture->status(waitTarget + number));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400, m_fixture->status(sizeTarget + number));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400, m_fixture->status(positionTarget + number, ""));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fixture->read("&from=%30").records.size());
    }

    /// Without an answer, a client could not tell its own malformed request from a store that is down.
    void requestThatIsNoHttpIsRefused()
    {
        const std::string target = newestPath + operatorQuery + "&after=";
        for (const std::string key : {"a b", "a\n"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 400, m_fixture->status(target + key));
        }
    }

    /// Keys written as they are would be other keys, or no JSON at all, to a client that reads the page right.
    void keysAreJsonStrings()
    {
        m_fixture->put(oddKeys);
        for (const fakes::key_encoding encoding : {fakes::key_encoding::rawBytes, fakes::key_encoding::singleSurrogates}) {
            m_fixture->store.setKeyEncoding(encoding);
            const std::string body = m_fixture->call(newestPath + operatorQuery).body();
            for (const std::string text : {R"("key":"\"\\/")", R"("key":"b\u000a\u0001")", "\"key\":\"c\xc3\xa9\""}) {
                CPPUNIT_ASSERT_MESSAGE(text, body.find(text) != std::string::npos);
            }
        }
        m_fixture->store.setKeyEncoding(fakes::key_encoding::rawBytes);
        assertEqual(oddKeys, m_fixture->newest().keys);
    }

    /// Both forms are found in stores: a client that reads one of them wrong continues after another key.
    void bytesThatAreNotUtf8StandInOneOfTwoForms()
    {
        // With sequences that are cut off, overlong, of a surrogate and beyond U+10FFFF, and whole ones beside them.
        const std::vector<std::pair<std::string, std::string>> forms{{"\x80", R"(\udc80)"},
                                                                     {"\xff", R"(\udcff)"},
                                                                     {"\xe2\x82", R"(\udce2\udc82)"},
                                                                     {"\xc0\xaf", R"(\udcc0\udcaf)"},
                                                                     {"\xe0\x80\xaf", R"(\udce0\udc80\udcaf)"},
                                                                     {"\xed\xb2\x80", R"(\udced\udcb2\udc80)"},
                                                                     {"\xf0\x80\x80\xaf", R"(\udcf0\udc80\udc80\udcaf)"},
                                                                     {"\xf4\x90\x80\x80", R"(\udcf4\udc90\udc80\udc80)"},
                                                                     {"\xf0\x9f\x98\x80", "\xf0\x9f\x98\x80"},
                                                                     {"\xe2\x82\xac\xc3", "\xe2\x82\xac\\udcc3"},
                                                                     {"\xed\x9f\xbf", "\xed\x9f\xbf"}};
        for (const auto &[key, escapes] : forms) {
            store_fixture fixture;
            fixture.put({key});
            const std::string raw = fixture.call(newestPath + operatorQuery).body();
            CPPUNIT_ASSERT_MESSAGE(escapes, raw.find("\"key\":\"" + key + "\"") != std::string::npos);
            fixture.store.setKeyEncoding(fakes::key_encoding::singleSurrogates);
            const std::string surrogates = fixture.call(newestPath + operatorQuery).body();
            CPPUNIT_ASSERT_MESSAGE(surrogates, surrogates.find("\"key\":\"" + escapes + "\"") != std::string::npos);
        }
    }

    /// A node that starts before the operator has written anything must find an empty topic and wait for its first record.
    void topicThatWasNeverWrittenIsEmpty()
    {
        const newest_answer page = m_fixture->newest();
        CPPUNIT_ASSERT(page.keys.empty() && !page.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), page.end);
        const log_answer log = m_fixture->read("&from=0");
        CPPUNIT_ASSERT(log.records.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), log.end + log.first);
    }

private:
    std::unique_ptr<store_fixture> m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(metadata_store_test);
