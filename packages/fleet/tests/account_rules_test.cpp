#include <chervilbend/fleet/account_directory.hpp>
#include <chervilbend/fleet/request_urgency.hpp>
#include <chervilbend/fleet/route_rule.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>

using namespace chervilbend;
using namespace chervilbend::fleet;

namespace
{

account_rule accountOf(const std::string &name, std::vector<std::string> keys, std::optional<int> priority = std::nullopt)
{
    account_rule account;
    account.id = base::account_id(name);
    account.keys = std::move(keys);
    account.priority = priority;
    return account;
}

route_rule routeOf(int priority)
{
    route_rule route;
    route.priority = priority;
    return route;
}

} // namespace

/// Guards against requests that are counted for the wrong account, and against urgent work of an account that waits behind the batch work of the same one.
class account_rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(account_rules_test);
    CPPUNIT_TEST(keyIdentifiesItsAccount);
    CPPUNIT_TEST(sharedKeyBelongsToTheFirst);
    CPPUNIT_TEST(accountPriorityGoesBeforeTheRoutes);
    CPPUNIT_TEST(anyPriorityGivesAValidLevel);
    CPPUNIT_TEST_SUITE_END();

public:
    void keyIdentifiesItsAccount()
    {
        const std::vector<account_rule> accounts{accountOf("print", {"k1", "k2"}), accountOf("school", {"k3"}), accountOf("closed", {})};
        const account_directory directory(accounts);
        CPPUNIT_ASSERT_EQUAL(std::string("print"), directory.findByKey("k2")->id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("school"), directory.findByKey("k3")->id.value());
        for (const std::string_view key : {"", "k", "K1", "k1 ", "print"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string(key), !directory.findByKey(key));
        }
        CPPUNIT_ASSERT(directory.findById(base::account_id("closed")) && !directory.findById(base::account_id("k1")));
    }

    void sharedKeyBelongsToTheFirst()
    {
        const std::vector<account_rule> accounts{accountOf("print", {"k1"}), accountOf("school", {"k1", ""})};
        const account_directory directory(accounts);
        CPPUNIT_ASSERT_EQUAL(std::string("print"), directory.findByKey("k1")->id.value());
        CPPUNIT_ASSERT_MESSAGE("an empty key must not open an account", !directory.findByKey(""));
    }

    void accountPriorityGoesBeforeTheRoutes()
    {
        const account_rule first = accountOf("first", {}, 0);
        const account_rule second = accountOf("second", {}, 1);
        const account_rule third = accountOf("third", {}, 2);
        CPPUNIT_ASSERT(urgencyOf(&first, routeOf(2)).level < urgencyOf(&second, routeOf(0)).level);
        CPPUNIT_ASSERT(urgencyOf(&second, routeOf(0)).level < urgencyOf(&second, routeOf(1)).level);
        CPPUNIT_ASSERT(urgencyOf(&second, routeOf(2)).level < urgencyOf(&third, routeOf(0)).level);
        CPPUNIT_ASSERT(urgencyOf(&second, routeOf(0)).queueClass == base::work_class::urgent);
        CPPUNIT_ASSERT(urgencyOf(&first, routeOf(2)).queueClass == base::work_class::normal);
        CPPUNIT_ASSERT(urgencyOf(&third, routeOf(1)).queueClass == base::work_class::batch);
        const account_rule plain = accountOf("plain", {});
        for (const account_rule *const account : {static_cast<const account_rule *>(nullptr), &plain}) {
            CPPUNIT_ASSERT_EQUAL(2, urgencyOf(account, routeOf(2)).level);
            CPPUNIT_ASSERT(urgencyOf(account, routeOf(0)).queueClass == base::work_class::urgent);
        }
    }

    void anyPriorityGivesAValidLevel()
    {
        rc::check("levels are from 0 to 9", [](int accountPriority, int routePriority) {
            const account_rule account = accountOf("any", {}, accountPriority);
            const int level = urgencyOf(&account, routeOf(routePriority)).level;
            RC_ASSERT(level >= 0 && level <= 9);
        });
        const account_rule extreme = accountOf("extreme", {}, std::numeric_limits<int>::max());
        CPPUNIT_ASSERT_EQUAL(9, urgencyOf(&extreme, routeOf(std::numeric_limits<int>::max())).level);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_rules_test);
