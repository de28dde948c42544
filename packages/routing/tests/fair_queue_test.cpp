#include <chervilbend/routing/internal/fair_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against an account that gets more than its part, and against requests that get lost in the queue's three indexes.
class fair_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(givesBusyAccountsEqualCost);
    CPPUNIT_TEST(keepsItsCountsUnderRandomUse);
    CPPUNIT_TEST_SUITE_END();

public:
    void givesBusyAccountsEqualCost()
    {
        const bool holds = rc::check("two busy accounts differ by at most two quanta", [] {
            const auto costs = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(1, 100));
            fair_queue queue;
            for (std::size_t index = 0; index < costs.size(); ++index) {
                // The second account's requests are ten times as many and a tenth as large.
                queue.push(base::account_id("large"), {index + 1, 10.0 * costs[index], {}});
                for (int part = 0; part < 10; ++part) {
                    queue.push(base::account_id("small"), {1000 + index, 1.0 * costs[index], {}});
                }
            }
            std::map<bool, double> served;
            while (queue.backlogOf(base::account_id("large")) > 0 && queue.backlogOf(base::account_id("small")) > 0) {
                const fair_queue::item next = *queue.front();
                queue.pop();
                served[next.request < 1000] += next.cost;
                RC_ASSERT(std::abs(served[true] - served[false]) <= 2 * 1000.0);
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    void keepsItsCountsUnderRandomUse()
    {
        const bool holds = rc::check("every request leaves once, and cost and size follow", [] {
            fair_queue queue;
            std::map<request_handle, std::pair<fair_queue::place, double>> inside;
            double cost = 0;
            request_handle last = 0;
            for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60))) {
                const base::account_id account(std::string(1, static_cast<char>('a' + step % 5)));
                if (step < 30 || inside.empty()) {
                    const fair_queue::item item{++last, 1.0 + step, {}};
                    inside[last] = {step % 2 == 0 ? queue.push(account, item) : queue.pushFront(account, item), item.cost};
                    cost += item.cost;
                } else if (step < 45) {
                    const request_handle taken = queue.front()->request;
                    RC_ASSERT(inside.contains(taken));
                    queue.pop();
                    cost -= inside[taken].second;
                    inside.erase(taken);
                } else {
                    const request_handle shed = queue.newestOfLargest()->request;
                    queue.remove(inside.at(shed).first);
                    cost -= inside[shed].second;
                    inside.erase(shed);
                }
                RC_ASSERT(queue.size() == inside.size());
                RC_ASSERT(std::abs(queue.cost() - cost) < 1e-6);
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);
