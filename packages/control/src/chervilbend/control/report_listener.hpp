#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/external/engine_report.hpp>

namespace chervilbend::control
{

/// Is told what engines report, and when they cannot be asked.
class report_listener
{
public:
    virtual ~report_listener() = default;

    virtual void reportArrived(const base::endpoint_id &endpoint, const external::engine_report &report) = 0;

    /// The engine did not answer @p times polls in a row, 1 or more.
    virtual void reportMissed(const base::endpoint_id &endpoint, int times) = 0;
};

} // namespace chervilbend::control
