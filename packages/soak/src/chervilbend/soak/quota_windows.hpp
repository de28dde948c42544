#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/soak/soak_accounts.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::soak
{

/// A window in which more requests of an account ran than its quota allows.
struct quota_excess {
    std::size_t runs = 0;
    double allowed = 0;
    /// Of the nodes that the requests were sent to.
    std::set<std::string> programs;
};

/// Counts the requests of each account that run within each sliding window, and compares them with the account's limit.
class quota_windows
{
public:
    static constexpr base::milliseconds window{8'000};
    /// A limit may apply for so long after its successor was published (configurationBound).
    static constexpr base::milliseconds propagation{3'000};
    /// (rate x window + burst) x 1.1, and one burst in place of the slack of 7,500 units, which exceeds the traffic of a soak.
    static double allowedRuns(const account_limit &limit);

    void setLimit(const std::string &account, account_limit limit, base::time_point at = base::clock::now());
    /// Nodes may have no contact with the store now, so that a lowered limit binds later.
    void onContactLoss(base::time_point at = base::clock::now());
    /// Times must not decrease. An excess is reported once for an account.
    std::optional<quota_excess> onRun(const std::string &account, const std::string &program, base::time_point at);

    /// The fullest window of each account, as "NAME RUNS of ALLOWED".
    std::string summary() const;

private:
    struct limit_period {
        account_limit limit;
        base::time_point from;
        /// No value for the newest one.
        std::optional<base::time_point> until;
    };

    struct run {
        base::time_point at;
        std::string program;
    };

    struct account_state {
        std::vector<limit_period> limits;
        std::deque<run> runs;
        std::size_t fullestRuns = 0;
        double fullestAllowed = 1;
        bool isReported = false;
    };

    /// The most runs that any limit in force during the window that ends at @p end allows.
    static double allowedIn(const account_state &state, base::time_point end);

    std::map<std::string, account_state> m_accounts;
};

} // namespace chervilbend::soak
