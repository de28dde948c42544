#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// How many engines one request crashes that a caller sends again and again through all nodes.
class poison_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
