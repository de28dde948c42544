#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/external/weight_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <cstdint>
#include <set>

namespace chervilbend::fakes
{

/// How long loads from the weight store take, given what is in transit. Does no I/O; time comes from base::clock.
///
/// At the default figures a model takes slots / loadsPerSecond = 2 s at full speed. Loads start at most loadsPerSecond apart; beyond
/// the slots each takes proportionally longer. Adapters take 5 to 7 ms, proportionally longer beyond adapterSlots.
class weight_store_model
{
public:
    /// Only the rate and the slots of @p figures are used.
    explicit weight_store_model(external::weight_store_status figures = {}, std::uint64_t seed = 1);

    /// Registers the load of a model and gives the time until it is complete.
    base::milliseconds beginModelLoad();
    /// Registers the load of an adapter and gives the time until it is complete.
    base::milliseconds beginAdapterLoad();
    /// Makes later loads so many times slower; 1 is normal.
    void setSlowness(double factor);

    external::weight_store_status status();
    /// Most model loads ever in transit at once.
    int highestInTransit() const;

private:
    external::weight_store_status m_figures;
    seeded_random m_random;
    double m_slowness = 1;
    int m_highestInTransit = 0;
    base::time_point m_nextStart{};
    /// When the loads in transit end.
    std::multiset<base::time_point> m_modelEnds;
    std::multiset<base::time_point> m_adapterEnds;
};

} // namespace chervilbend::fakes
