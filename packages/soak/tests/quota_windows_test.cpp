#include <chervilbend/soak/quota_windows.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace chervilbend;
using namespace chervilbend::soak;

namespace
{

constexpr base::time_point start{base::milliseconds(100'000)};
/// Of (10 x 8 + 10) x 1.1 + 10 and of half of it.
constexpr int allowed = 109;
constexpr int allowedByHalf = 54;

struct windows_fixture {
    windows_fixture()
    {
        windows.setLimit("low", {10, 10}, start);
    }

    /// Whether one of so many runs at that time is an excess.
    bool exceeds(int runs, int atMs)
    {
        bool isExcess = false;
        for (int i = 0; i < runs; ++i) {
            isExcess = windows.onRun("low", "now", start + base::milliseconds(atMs)).has_value() || isExcess;
        }
        return isExcess;
    }

    quota_windows windows;
};

} // namespace

/// Guards against quotas of a soak that are checked in fixed instead of sliding windows, or against a limit that is not in force.
class quota_windows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_windows_test);
    CPPUNIT_TEST(windowsSlide);
    CPPUNIT_TEST(accountsWithoutLimitAreNotCounted);
    CPPUNIT_TEST(loweredLimitBindsAfterItsPropagation);
    CPPUNIT_TEST(loweredLimitBindsLaterWithoutContact);
    CPPUNIT_TEST(restoredLimitHoldsAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void windowsSlide()
    {
        windows_fixture fixture;
        CPPUNIT_ASSERT(!fixture.exceeds(allowed - 1, 1'000));
        CPPUNIT_ASSERT(!fixture.exceeds(1, 8'999));
        CPPUNIT_ASSERT_MESSAGE("the first runs have left the window", !fixture.exceeds(allowed - 1, 9'000));
        CPPUNIT_ASSERT_EQUAL(std::string("low 109 of 109"), fixture.windows.summary());
        CPPUNIT_ASSERT(fixture.exceeds(1, 16'998));
        CPPUNIT_ASSERT_MESSAGE("reported once", !fixture.exceeds(1, 16'998));
    }

    void accountsWithoutLimitAreNotCounted()
    {
        quota_windows windows;
        CPPUNIT_ASSERT(!windows.onRun("", "now", start) && !windows.onRun("other", "now", start));
        CPPUNIT_ASSERT_EQUAL(std::string(), windows.summary());
    }

    void loweredLimitBindsAfterItsPropagation()
    {
        windows_fixture before;
        before.windows.setLimit("low", {5, 5}, start + base::milliseconds(1'000));
        CPPUNIT_ASSERT_MESSAGE("the window began at 3.999 s", !before.exceeds(allowed, 11'999));
        windows_fixture after;
        after.windows.setLimit("low", {5, 5}, start + base::milliseconds(1'000));
        CPPUNIT_ASSERT(!after.exceeds(allowedByHalf, 12'000));
        CPPUNIT_ASSERT(after.exceeds(1, 12'000));
    }

    /// A node that is cut off from the store goes on with the limit that it has.
    void loweredLimitBindsLaterWithoutContact()
    {
        windows_fixture fixture;
        fixture.windows.setLimit("low", {5, 5}, start + base::milliseconds(1'000));
        fixture.windows.onContactLoss(start + base::milliseconds(3'000));
        CPPUNIT_ASSERT(!fixture.exceeds(allowed, 13'999));
        windows_fixture late;
        late.windows.setLimit("low", {5, 5}, start + base::milliseconds(1'000));
        late.windows.onContactLoss(start + base::milliseconds(4'001));
        CPPUNIT_ASSERT_MESSAGE("all nodes had the new limit by then", late.exceeds(allowed, 12'000));
    }

    void restoredLimitHoldsAtOnce()
    {
        windows_fixture fixture;
        fixture.windows.setLimit("low", {5, 5}, start + base::milliseconds(1'000));
        fixture.windows.setLimit("low", {10, 10}, start + base::milliseconds(15'000));
        CPPUNIT_ASSERT(!fixture.exceeds(allowed, 15'000));
        CPPUNIT_ASSERT(fixture.exceeds(1, 15'001));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_windows_test);
