#pragma once

#include <chervilbend/load/checks/check_result.hpp>
#include <chervilbend/load/run_history.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chervilbend::load
{

/// Checks one invariant of the design document against the external observations of a run.
class invariant_check
{
public:
    virtual ~invariant_check() = default;
    virtual std::string name() const = 0;
    virtual check_result check(const run_history &history) const = 0;

protected:
    /// Breached if there is @p evidence; otherwise held, or not exercised when @p examined is 0.
    static check_result decide(std::size_t examined, const std::string &scope, std::vector<std::string> evidence);
};

/// All eight checks, in the order of the design document.
std::vector<std::unique_ptr<invariant_check>> allChecks();

/// "order-1-2-3 attempt 2 through 127.0.0.1:7401, sent at 5, ended at 9, status 503, run \"unknown\": DETAIL".
std::string describe(const attempt &entry);

} // namespace chervilbend::load
