#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// What the callers' side of a node costs, compared with direct calls to the same endpoint over loopback sockets in the same run.
class proxy_measurement : public measurement
{
public:
    std::string name() const override
    {
        return "proxy";
    }

    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
