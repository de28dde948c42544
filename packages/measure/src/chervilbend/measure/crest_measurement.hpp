#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Service while the offered load rises tenfold, to three times what the engines can do, within 5 s and for 30 s.
class crest_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
