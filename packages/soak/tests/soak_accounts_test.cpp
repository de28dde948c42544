#include <chervilbend/soak/soak_accounts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

using namespace chervilbend;
using namespace chervilbend::soak;

namespace
{

bool hasKey(const soak_accounts &accounts, const account_key &key)
{
    return std::any_of(accounts.accounts().begin(), accounts.accounts().end(), [&](const soak_accounts::account &one) {
        return one.name == key.account && std::find(one.keys.begin(), one.keys.end(), key.text) != one.keys.end();
    });
}

} // namespace

/// Guards against callers that send keys for which the rules expect another validity than the versions give.
class soak_accounts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(soak_accounts_test);
    CPPUNIT_TEST(keysAreInTheVersionsThatTheyName);
    CPPUNIT_TEST(tenantsAreWrittenAsThePlatformReadsThem);
    CPPUNIT_TEST_SUITE_END();

public:
    void keysAreInTheVersionsThatTheyName()
    {
        constexpr int versions = 5;
        std::map<std::string, account_key> keys;
        fakes::seeded_random random(1);
        for (int i = 0; i < 1'000; ++i) {
            const account_key key = soak_accounts::drawKey(random);
            keys[key.text] = key;
        }
        std::map<std::string, int> found;
        soak_accounts accounts;
        const auto count = [&] {
            for (const auto &[text, key] : keys) {
                found[text] += hasKey(accounts, key) ? 1 : 0;
            }
        };
        count();
        const double rate = accounts.accounts()[1].limit.rate;
        for (const account_change change : {account_change::halveLimit, account_change::addKey, account_change::removeKey, account_change::restoreLimit}) {
            accounts.apply(change);
            count();
        }
        for (const auto &[text, key] : keys) {
            const key_validity validity = found[text] == 0 ? key_validity::never
                : found[text] == versions                  ? key_validity::always
                                                           : key_validity::inSomeVersions;
            CPPUNIT_ASSERT_MESSAGE(text, validity == key.validity);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), keys.size());
        CPPUNIT_ASSERT_EQUAL(rate, accounts.accounts()[1].limit.rate);
    }

    void tenantsAreWrittenAsThePlatformReadsThem()
    {
        soak_accounts accounts;
        accounts.apply(account_change::halveLimit);
        const std::string text = accounts.toJson();
        const std::string expected = R"({"name":"south","apiKeys":["south-key","south-removed-key"],"priority":1,"unit":"requests","ratePerS":30,"burst":30})";
        CPPUNIT_ASSERT(text.find(expected) != std::string::npos && text.starts_with("[{") && text.ends_with("}]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_accounts_test);
