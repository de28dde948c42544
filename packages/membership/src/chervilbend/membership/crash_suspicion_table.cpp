#include <chervilbend/membership/crash_suspicion_table.hpp>

#include <algorithm>

namespace chervilbend::membership
{

crash_suspicion_table::crash_suspicion_table(base::milliseconds memory, std::size_t maxSize)
    : m_memory(memory)
    , m_maxSize(std::max<std::size_t>(1, maxSize))
{
}

bool crash_suspicion_table::learn(const crash_suspicion &suspicion, int transmissions)
{
    forgetOld();
    const auto known = m_records.find(suspicion.fingerprint);
    if (known != m_records.end() && known->second.crashes >= suspicion.crashes) {
        return false;
    }
    if (known == m_records.end() && m_records.size() >= m_maxSize) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.learnedAt < right.second.learnedAt;
        };
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), older));
    }
    m_records[suspicion.fingerprint] = {suspicion.crashes, transmissions, base::clock::now()};
    return true;
}

std::vector<crash_suspicion> crash_suspicion_table::take(std::size_t count)
{
    forgetOld();
    std::vector<std::pair<int, std::uint64_t>> waiting;
    for (const auto &[fingerprint, known] : m_records) {
        if (known.transmissionsLeft > 0) {
            waiting.emplace_back(-known.transmissionsLeft, fingerprint);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    waiting.resize(std::min(waiting.size(), count));
    std::vector<crash_suspicion> taken;
    for (const auto &[negativeLeft, fingerprint] : waiting) {
        record &known = m_records[fingerprint];
        --known.transmissionsLeft;
        taken.push_back({fingerprint, known.crashes});
    }
    return taken;
}

std::vector<crash_suspicion> crash_suspicion_table::all() const
{
    std::vector<crash_suspicion> suspicions;
    for (const auto &[fingerprint, known] : m_records) {
        if (base::clock::now() - known.learnedAt <= m_memory) {
            suspicions.push_back({fingerprint, known.crashes});
        }
    }
    return suspicions;
}

void crash_suspicion_table::forgetOld()
{
    std::erase_if(m_records, [this](const auto &known) { return base::clock::now() - known.second.learnedAt > m_memory; });
}

} // namespace chervilbend::membership
