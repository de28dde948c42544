#include <chervilbend/routing/internal/cost_predictor.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>

namespace chervilbend::routing
{

namespace
{

/// Predicted number of tokens before there are enough samples.
constexpr double initialPrediction = 256;
/// Number of samples from which a mean is used.
constexpr long minimumSamples = 5;
/// Engines prefill about 256 prompt tokens in the time of one decoding step.
constexpr double promptTokenCost = 1.0 / 256;

} // namespace

void cost_predictor::running_mean::add(double sample)
{
    ++count;
    value += (sample - value) * std::max(1.0 / static_cast<double>(count), 0.01);
}

int cost_predictor::bucketOf(base::token_count maxTokens)
{
    const auto bound = static_cast<std::uint64_t>(std::max<std::int64_t>(0, maxTokens.count()));
    return std::min<int>(bucketCount - 1, std::bit_width(bound));
}

double cost_predictor::outputTokens(base::work_class urgency, base::token_count maxTokens) const
{
    const auto classRow = static_cast<std::size_t>(urgency);
    const running_mean &bucketMean = m_byBound[classRow][bucketOf(maxTokens)];
    const running_mean &classMean = m_byClass[classRow];
    const double expected = bucketMean.count >= minimumSamples ? bucketMean.value : classMean.count >= minimumSamples ? classMean.value : initialPrediction;
    return std::clamp(expected, 0.0, static_cast<double>(std::max<std::int64_t>(0, maxTokens.count())));
}

void cost_predictor::addSample(base::work_class urgency, base::token_count maxTokens, double generated)
{
    const auto classRow = static_cast<std::size_t>(urgency);
    m_byBound[classRow][bucketOf(maxTokens)].add(generated);
    m_byClass[classRow].add(generated);
}

double cost_predictor::remainingTokens(double predicted, double generated, base::token_count maxTokens)
{
    const double bound = std::max(0.0, static_cast<double>(maxTokens.count()) - generated);
    return std::min(generated < predicted ? predicted - generated : generated, bound);
}

double cost_predictor::inputCost(base::token_count promptTokens)
{
    return 1 + static_cast<double>(std::max<std::int64_t>(0, promptTokens.count())) * promptTokenCost;
}

} // namespace chervilbend::routing
