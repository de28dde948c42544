#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Cost of the caller-facing part of a node, compared with direct requests to the same endpoint over loopback sockets in the same run.
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
