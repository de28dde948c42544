#include <chervilbend/soak/store_contents.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::soak;

namespace
{

std::string describeAll(store_contents &contents)
{
    std::string text = contents.describeForm();
    for (const further_record &record : contents.initialRecords()) {
        text += describe(record) + '\n';
    }
    for (int i = 0; i < 100; ++i) {
        text += describe(contents.drawChange()) + '\n';
    }
    return text;
}

std::set<std::string> keysOf(shared_topic topic)
{
    constexpr int draws = 4'000;
    fakes::seeded_random random(1);
    std::set<std::string> keys;
    for (int i = 0; i < draws; ++i) {
        keys.insert(store_contents::drawKey(random, topic));
    }
    return keys;
}

bool isAny(const std::set<std::string> &keys, bool (*matches)(const std::string &))
{
    return std::any_of(keys.begin(), keys.end(), matches);
}

} // namespace

/// Guards against seeds that can't be played again, and against draws that leave out the keys which have kept nodes from starting.
class store_contents_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_contents_test);
    CPPUNIT_TEST(seedGivesRecordsAndForm);
    CPPUNIT_TEST(allFormsOfPagesAreDrawn);
    CPPUNIT_TEST(allFormsOfKeysAreDrawn);
    CPPUNIT_TEST(keysSortOnEitherSideOfThoseOfTheNodes);
    CPPUNIT_TEST(recordsOfTheNodesAreLeftAlone);
    CPPUNIT_TEST(valuesReachFromNoneToManyBytes);
    CPPUNIT_TEST(recordsAreWrittenAndDeletedLater);
    CPPUNIT_TEST(printedKeyIsEscaped);
    CPPUNIT_TEST_SUITE_END();

public:
    void seedGivesRecordsAndForm()
    {
        store_contents first(17);
        store_contents again(17);
        store_contents other(18);
        const std::string text = describeAll(first);
        CPPUNIT_ASSERT_EQUAL(text, describeAll(again));
        CPPUNIT_ASSERT(text != describeAll(other));
    }

    void allFormsOfPagesAreDrawn()
    {
        std::set<std::size_t> records;
        std::set<std::size_t> bytes;
        std::set<fakes::key_encoding> encodings;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            const store_contents contents(seed);
            records.insert(contents.pageLimit().records);
            bytes.insert(contents.pageLimit().bytes);
            encodings.insert(contents.keyEncoding());
        }
        CPPUNIT_ASSERT((records == std::set<std::size_t>{1, 2, 7, 500}));
        CPPUNIT_ASSERT((bytes == std::set<std::size_t>{1, 300, 4'096, 65'536, 1'048'576}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), encodings.size());
    }

    void allFormsOfKeysAreDrawn()
    {
        for (const shared_topic topic : {shared_topic::operation, shared_topic::servers}) {
            const std::set<std::string> keys = keysOf(topic);
            for (const char one : std::string("%&=+#?/ \"\\\x01\x7f\x80\xff")) {
                CPPUNIT_ASSERT(std::any_of(keys.begin(), keys.end(), [&](const std::string &key) { return key.find(one) != std::string::npos; }));
            }
            CPPUNIT_ASSERT(keys.contains(""));
            CPPUNIT_ASSERT(isAny(keys, [](const std::string &key) { return key.ends_with("%zz"); }));
            CPPUNIT_ASSERT(isAny(keys, [](const std::string &key) { return key.size() == 255; }));
            CPPUNIT_ASSERT(isAny(keys, [](const std::string &key) { return key.find('\0') != std::string::npos; }));
            CPPUNIT_ASSERT(!isAny(keys, [](const std::string &key) { return key.size() > 255; }));
        }
    }

    void keysSortOnEitherSideOfThoseOfTheNodes()
    {
        const std::set<std::string> operation = keysOf(shared_topic::operation);
        CPPUNIT_ASSERT(operation.contains("confif\xff"));
        CPPUNIT_ASSERT(operation.contains(std::string("config\0", 7)));
        const std::set<std::string> servers = keysOf(shared_topic::servers);
        CPPUNIT_ASSERT(servers.contains("i-a-!"));
        CPPUNIT_ASSERT(servers.contains(std::string("i-a-1\0", 6)));
    }

    void recordsOfTheNodesAreLeftAlone()
    {
        CPPUNIT_ASSERT(!keysOf(shared_topic::operation).contains("config"));
        for (const std::string &key : keysOf(shared_topic::servers)) {
            const bool hasDigitAtEnd = !key.empty() && key.back() >= '0' && key.back() <= '9';
            CPPUNIT_ASSERT(!(key.starts_with("i-") && hasDigitAtEnd));
        }
    }

    void valuesReachFromNoneToManyBytes()
    {
        std::size_t smallest = 1;
        std::size_t largest = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            const store_contents contents(seed);
            for (const further_record &record : contents.initialRecords()) {
                smallest = std::min(smallest, record.value.size());
                largest = std::max(largest, record.value.size());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), smallest);
        CPPUNIT_ASSERT(largest > 190'000);
        CPPUNIT_ASSERT(largest <= 200'000);
    }

    void recordsAreWrittenAndDeletedLater()
    {
        store_contents contents(1);
        int deleted = 0;
        constexpr int draws = 200;
        for (int i = 0; i < draws; ++i) {
            deleted += contents.drawChange().value.empty() ? 1 : 0;
        }
        CPPUNIT_ASSERT(deleted > draws / 10);
        CPPUNIT_ASSERT(deleted < draws / 2);
    }

    void printedKeyIsEscaped()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(R"(operation "a\x20%\x5c\xff" 3 bytes)"), describe({shared_topic::operation, "a %\\\xff", "abc"}));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(servers "" deleted)"), describe({shared_topic::servers, "", ""}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_contents_test);
