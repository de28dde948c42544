#include <chervilbend/measure/simulation/order_history_check.hpp>

#include <algorithm>
#include <cstddef>
#include <map>

namespace chervilbend::measure
{

namespace
{

using base::run_state;
using event_kind = order_history::event_kind;

/// The events of one key, with their positions in the history.
struct order_events {
    std::map<int, std::size_t> started;
    /// Position and attempt of each execution.
    std::vector<std::pair<std::size_t, int>> executions;
    std::vector<std::pair<std::size_t, run_state>> answers;
};

std::map<std::string, order_events> groupByKey(const order_history &history)
{
    std::map<std::string, order_events> orders;
    for (std::size_t position = 0; position < history.events().size(); ++position) {
        const order_history::event &event = history.events()[position];
        order_events &order = orders[event.key];
        switch (event.kind) {
        case event_kind::started:
            order.started.emplace(event.attempt, position);
            break;
        case event_kind::answered:
            order.answers.emplace_back(position, event.state);
            break;
        case event_kind::ran:
            order.executions.emplace_back(position, event.attempt);
            break;
        }
    }
    return orders;
}

/// An attempt that is sent after the answer "not run" may be executed, because that answer permits a retry.
bool isFalseNotRun(const order_events &order, std::size_t answeredAt)
{
    return std::any_of(order.executions.begin(), order.executions.end(), [&](const auto &execution) {
        const auto started = order.started.find(execution.second);
        return execution.first < answeredAt || started == order.started.end() || started->second < answeredAt;
    });
}

bool isFalseRan(const order_events &order, std::size_t answeredAt)
{
    return std::none_of(order.executions.begin(), order.executions.end(), [&](const auto &execution) { return execution.first < answeredAt; });
}

} // namespace

order_history_verdict checkHistory(const order_history &history)
{
    order_history_verdict verdict;
    for (const auto &[key, order] : groupByKey(history)) {
        ++verdict.orders;
        bool hasFalseNotRun = false;
        bool hasFalseRan = false;
        for (const auto &[position, state] : order.answers) {
            ++verdict.answers;
            verdict.unknownAnswers += state == run_state::unknown ? 1 : 0;
            verdict.notRunAnswers += state == run_state::notRun ? 1 : 0;
            verdict.ranAnswers += state == run_state::ran ? 1 : 0;
            hasFalseNotRun = hasFalseNotRun || (state == run_state::notRun && isFalseNotRun(order, position));
            hasFalseRan = hasFalseRan || (state == run_state::ran && isFalseRan(order, position));
        }
        if (order.executions.size() > 1) {
            verdict.executedTwice.push_back(key);
        }
        if (hasFalseNotRun) {
            verdict.falseNotRun.push_back(key);
        }
        if (hasFalseRan) {
            verdict.falseRan.push_back(key);
        }
    }
    return verdict;
}

} // namespace chervilbend::measure
