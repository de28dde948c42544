#pragma once

#include <chervilbend/base/units.hpp>
#include <chervilbend/base/work_class.hpp>

#include <array>

namespace chervilbend::routing
{

/// Predicts the cost of a pool's requests. The unit of cost is one generated token. A request to a plain service costs 1.
class cost_predictor
{
public:
    /// The expected number of generated tokens of a request, from 0 to @p maxTokens.
    double outputTokens(base::work_class urgency, base::token_count maxTokens) const;

    /// Updates the predictions with a request that generated @p generated tokens.
    void addSample(base::work_class urgency, base::token_count maxTokens, double generated);

    /// The expected number of remaining tokens of a stream that was predicted at @p predicted tokens. A stream that has exceeded its
    /// prediction is expected to be half done: with heavy-tailed lengths, the expected rest grows with the length so far.
    static double remainingTokens(double predicted, double generated, base::token_count maxTokens);

    /// The cost of processing the input: 1, plus the prompt tokens weighted by the ratio of prefill to decoding time per token.
    static double inputCost(base::token_count promptTokens);

private:
    struct running_mean {
        double value = 0;
        long count = 0;

        void add(double sample);
    };

    /// Number of buckets by the magnitude of maxTokens. Callers that want long answers set a higher bound, so it distinguishes requests
    /// within a class.
    static constexpr int bucketCount = 24;
    static int bucketOf(base::token_count maxTokens);

    std::array<std::array<running_mean, bucketCount>, base::workClassCount> m_byBound;
    std::array<running_mean, base::workClassCount> m_byClass;
};

} // namespace chervilbend::routing
