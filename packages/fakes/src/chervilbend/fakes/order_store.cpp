#include <chervilbend/fakes/order_store.hpp>

namespace chervilbend::fakes
{

std::int64_t order_store::run(const std::string &key)
{
    return ++m_runs[key];
}

const std::map<std::string, std::int64_t> &order_store::runs() const
{
    return m_runs;
}

std::int64_t order_store::runsOf(const std::string &key) const
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

std::int64_t order_store::duplicates() const
{
    std::int64_t duplicates = 0;
    for (const auto &[key, runs] : m_runs) {
        duplicates += runs - 1;
    }
    return duplicates;
}

} // namespace chervilbend::fakes
