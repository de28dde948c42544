#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Time that leases have no holder after a kill and after a planned stop, with 9 nodes and 12 engines, in virtual time.
class takeover_measurement : public measurement
{
public:
    std::string name() const override
    {
        return "takeover";
    }

    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
