#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/external/engine_report.hpp>

namespace chervilbend::control
{

/// Interface for receiving the reports of engines and failed polls.
class report_listener
{
public:
    virtual ~report_listener() = default;

    virtual void reportArrived(const base::endpoint_id &endpoint, const external::engine_report &report) = 0;

    /// Called when the engine has failed to answer @p times consecutive polls, 1 or more.
    virtual void reportMissed(const base::endpoint_id &endpoint, int times) = 0;
};

} // namespace chervilbend::control
