#include <chervilbend/membership/crash_suspicion_table.hpp>

#include <algorithm>

namespace chervilbend::membership
{

crash_suspicion_table::crash_suspicion_table(base::milliseconds retention, std::size_t maxSize)
    : m_retention(retention)
    , m_maxSize(std::max<std::size_t>(1, maxSize))
{
}

bool crash_suspicion_table::merge(const crash_suspicion &suspicion, int transmissions)
{
    evictExpired();
    const auto known = m_records.find(suspicion.fingerprint);
    if (known != m_records.end() && known->second.crashes >= suspicion.crashes) {
        return false;
    }
    if (known == m_records.end() && m_records.size() >= m_maxSize) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.updatedAt < right.second.updatedAt;
        };
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), older));
    }
    m_records[suspicion.fingerprint] = {suspicion.crashes, transmissions, base::clock::now()};
    return true;
}

std::vector<crash_suspicion> crash_suspicion_table::takeForSending(std::size_t count)
{
    evictExpired();
    std::vector<std::pair<int, std::uint64_t>> pending;
    for (const auto &[fingerprint, known] : m_records) {
        if (known.transmissionsLeft > 0) {
            pending.emplace_back(-known.transmissionsLeft, fingerprint);
        }
    }
    std::sort(pending.begin(), pending.end());
    pending.resize(std::min(pending.size(), count));
    std::vector<crash_suspicion> selected;
    for (const auto &[negativeLeft, fingerprint] : pending) {
        record &known = m_records[fingerprint];
        --known.transmissionsLeft;
        selected.push_back({fingerprint, known.crashes});
    }
    return selected;
}

std::vector<crash_suspicion> crash_suspicion_table::all() const
{
    std::vector<crash_suspicion> suspicions;
    for (const auto &[fingerprint, known] : m_records) {
        if (base::clock::now() - known.updatedAt <= m_retention) {
            suspicions.push_back({fingerprint, known.crashes});
        }
    }
    return suspicions;
}

void crash_suspicion_table::evictExpired()
{
    std::erase_if(m_records, [this](const auto &known) { return base::clock::now() - known.second.updatedAt > m_retention; });
}

} // namespace chervilbend::membership
