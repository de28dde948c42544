#include <chervilbend/soak/quota_windows.hpp>

#include <algorithm>
#include <sstream>

namespace chervilbend::soak
{

double quota_windows::allowedRuns(const account_limit &limit)
{
    constexpr double tolerance = 1.1;
    constexpr double windowSeconds = window.count() / 1'000.0;
    return (limit.rate * windowSeconds + limit.burst) * tolerance + limit.burst;
}

void quota_windows::setLimit(const std::string &account, account_limit limit, base::time_point at)
{
    std::vector<limit_period> &limits = m_accounts[account].limits;
    if (!limits.empty()) {
        limits.back().until = at + propagation;
    }
    limits.push_back({limit, at, std::nullopt});
}

void quota_windows::onContactLoss(base::time_point at)
{
    for (auto &[account, state] : m_accounts) {
        for (limit_period &period : state.limits) {
            if (period.until && *period.until >= at) {
                period.until = at + propagation;
            }
        }
    }
}

double quota_windows::allowedIn(const account_state &state, base::time_point end)
{
    double allowed = 0;
    for (const limit_period &period : state.limits) {
        const bool mayApply = period.from <= end && (!period.until || *period.until > end - window);
        allowed = mayApply ? std::max(allowed, allowedRuns(period.limit)) : allowed;
    }
    return allowed;
}

std::optional<quota_excess> quota_windows::onRun(const std::string &account, const std::string &program, base::time_point at)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return std::nullopt;
    }
    account_state &state = found->second;
    state.runs.push_back({at, program});
    while (state.runs.front().at <= at - window) {
        state.runs.pop_front();
    }
    const double allowed = allowedIn(state, at);
    const std::size_t runs = state.runs.size();
    if (static_cast<double>(runs) * state.fullestAllowed > static_cast<double>(state.fullestRuns) * allowed) {
        state.fullestRuns = runs;
        state.fullestAllowed = allowed;
    }
    if (state.isReported || static_cast<double>(runs) <= allowed) {
        return std::nullopt;
    }
    state.isReported = true;
    quota_excess excess{runs, allowed, {}};
    for (const run &one : state.runs) {
        excess.programs.insert(one.program);
    }
    return excess;
}

std::string quota_windows::summary() const
{
    std::ostringstream text;
    for (const auto &[account, state] : m_accounts) {
        text << (text.tellp() > 0 ? ", " : "") << account << ' ' << state.fullestRuns << " of " << state.fullestAllowed;
    }
    return text.str();
}

} // namespace chervilbend::soak
