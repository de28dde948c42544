#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Tail latency while 2 of 12 engines are 5 times slower without reporting it, with 1, 9 and 64 nodes that route independently.
class slow_engine_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
