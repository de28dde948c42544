#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Processor time that a node spends on a request whose account it finds by its key, compared with the same request under a configuration without accounts.
class account_cost_measurement : public measurement
{
public:
    std::string name() const override
    {
        return "account-cost";
    }

    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
