#pragma once

#include <chervilbend/measure/simulation/order_history.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// Counts and violations of a history of orders.
struct order_history_verdict {
    std::int64_t orders = 0;
    std::int64_t answers = 0;
    std::int64_t unknownAnswers = 0;
    std::int64_t notRunAnswers = 0;
    std::int64_t ranAnswers = 0;
    /// Keys that were executed more than once.
    std::vector<std::string> executedTwice;
    /// Keys with a false answer "not run": the order was executed before the answer, or after it by an attempt that was sent before it.
    std::vector<std::string> falseNotRun;
    /// Keys with a false answer "ran": the order had not been executed when the answer came.
    std::vector<std::string> falseRan;
};

order_history_verdict checkHistory(const order_history &history);

} // namespace chervilbend::measure
