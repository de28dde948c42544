#pragma once

#include <chervilbend/base/units.hpp>
#include <chervilbend/base/work_class.hpp>

#include <array>

namespace chervilbend::routing
{

/// Predicts the cost of a pool's requests. The unit of cost is one generated token; a request to a plain service costs 1.
class cost_predictor
{
public:
    /// Tokens that a request is expected to generate, from 0 to @p maxTokens.
    double outputTokens(base::work_class urgency, base::token_count maxTokens) const;

    /// Learns from a request that generated @p generated tokens.
    void learn(base::work_class urgency, base::token_count maxTokens, double generated);

    /// What is left of a stream that was predicted at @p predicted tokens. A stream that has passed its prediction is expected to be
    /// half done, as with heavy-tailed lengths the expected rest grows with what has passed.
    static double remainingTokens(double predicted, double generated, base::token_count maxTokens);

    /// Cost of reading the request: 1, plus the prompt at the ratio of prefill to decoding time per token.
    static double inputCost(base::token_count promptTokens);

private:
    struct mean {
        double value = 0;
        long count = 0;

        void add(double sample);
    };

    /// Callers that want long answers ask for more tokens, so requests of one class are told apart by the magnitude of that bound.
    static constexpr int bucketCount = 24;
    static int bucketOf(base::token_count maxTokens);

    std::array<std::array<mean, bucketCount>, base::workClassCount> m_byBound;
    std::array<mean, base::workClassCount> m_byClass;
};

} // namespace chervilbend::routing
