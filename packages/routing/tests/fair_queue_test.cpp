#include <chervilbend/routing/internal/fair_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Tests that no account gets more than its fair share and that the queue's three indexes stay consistent, so that no request is lost.
class fair_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(givesBusyAccountsEqualCost);
    CPPUNIT_TEST(keepsCostAndSizeUnderRandomOperations);
    CPPUNIT_TEST_SUITE_END();

public:
    void givesBusyAccountsEqualCost()
    {
        const bool holds = rc::check("the costs served to two backlogged accounts differ by at most two quanta", [] {
            const auto costs = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(1, 100));
            fair_queue queue;
            for (std::size_t index = 0; index < costs.size(); ++index) {
                // The second account has ten times as many requests, each a tenth as large.
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

    void keepsCostAndSizeUnderRandomOperations()
    {
        const bool holds = rc::check("every request is removed exactly once, and cost and size are consistent", [] {
            fair_queue queue;
            std::map<request_handle, std::pair<fair_queue::item_position, double>> queuedItems;
            double cost = 0;
            request_handle last = 0;
            for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60))) {
                const base::account_id account(std::string(1, static_cast<char>('a' + step % 5)));
                if (step < 30 || queuedItems.empty()) {
                    const fair_queue::item item{++last, 1.0 + step, {}};
                    queuedItems[last] = {step % 2 == 0 ? queue.push(account, item) : queue.pushFront(account, item), item.cost};
                    cost += item.cost;
                } else if (step < 45) {
                    const request_handle taken = queue.front()->request;
                    RC_ASSERT(queuedItems.contains(taken));
                    queue.pop();
                    cost -= queuedItems[taken].second;
                    queuedItems.erase(taken);
                } else {
                    const request_handle shed = queue.newestOfLargestAccount()->request;
                    queue.remove(queuedItems.at(shed).first);
                    cost -= queuedItems[shed].second;
                    queuedItems.erase(shed);
                }
                RC_ASSERT(queue.size() == queuedItems.size());
                RC_ASSERT(std::abs(queue.cost() - cost) < 1e-6);
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);
