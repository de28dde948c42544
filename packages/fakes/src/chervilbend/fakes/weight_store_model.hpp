#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/external/weight_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <cstdint>
#include <set>

namespace chervilbend::fakes
{

/// Computes load times of a weight store from the loads in transit. Does no I/O; time comes from base::clock.
///
/// At the default limits a model takes slots / loadsPerSecond = 2 s at full speed. At most loadsPerSecond loads start per second; with
/// more than slots loads in transit, a load takes proportionally longer. Adapters take 5 to 7 ms, and proportionally longer with more
/// than adapterSlots in transit.
class weight_store_model
{
public:
    /// Uses only the rate and the slot counts of @p limits.
    explicit weight_store_model(external::weight_store_status limits = {}, std::uint64_t seed = 1);

    /// Registers a model load and returns the time until its completion.
    base::milliseconds beginModelLoad();
    /// Registers an adapter load and returns the time until its completion.
    base::milliseconds beginAdapterLoad();
    /// Multiplies the duration of subsequent loads by @p factor; 1 is normal.
    void setSlowness(double factor);

    external::weight_store_status status();
    /// The highest number of concurrent model loads so far.
    int highestInTransit() const;

private:
    external::weight_store_status m_limits;
    seeded_random m_random;
    double m_slowness = 1;
    int m_highestInTransit = 0;
    base::time_point m_nextStart{};
    /// End times of the loads in transit.
    std::multiset<base::time_point> m_modelEnds;
    std::multiset<base::time_point> m_adapterEnds;
};

} // namespace chervilbend::fakes
