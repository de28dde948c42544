#pragma once

#include <chervilbend/measure/simulation/order_history.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// What is wrong with a history of orders.
struct order_history_verdict {
    std::int64_t orders = 0;
    std::int64_t answers = 0;
    std::int64_t unknownAnswers = 0;
    std::int64_t notRunAnswers = 0;
    std::int64_t ranAnswers = 0;
    /// Keys that ran more than once.
    std::vector<std::string> doubled;
    /// Keys of which an answer "not run" was false: the order ran before it, or ran after it by an attempt that was sent before it.
    std::vector<std::string> falseNotRun;
    /// Keys of which an answer "ran" came before the order ran, or without.
    std::vector<std::string> falseRan;
};

order_history_verdict checkHistory(const order_history &history);

} // namespace chervilbend::measure
