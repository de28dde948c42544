#include <chervilbend/fakes/prefix_cache.hpp>

#include <utility>

namespace chervilbend::fakes
{

prefix_cache::prefix_cache(base::token_count capacity)
    : m_capacity(capacity)
{
}

void prefix_cache::setListener(listener onChange)
{
    m_onChange = std::move(onChange);
}

bool prefix_cache::lookUpOrInsert(const std::string &key, base::token_count size)
{
    const auto found = m_index.find(key);
    if (found != m_index.end()) {
        m_recentFirst.splice(m_recentFirst.begin(), m_recentFirst, found->second);
        return true;
    }
    if (size > m_capacity) {
        return false;
    }
    while (m_used + size > m_capacity) {
        const cached_prefix oldest = std::move(m_recentFirst.back());
        m_recentFirst.pop_back();
        m_index.erase(oldest.key);
        m_used -= oldest.size;
        if (m_onChange) {
            m_onChange(false, oldest.key);
        }
    }
    m_recentFirst.push_front({key, size});
    m_index[key] = m_recentFirst.begin();
    m_used += size;
    if (m_onChange) {
        m_onChange(true, key);
    }
    return false;
}

} // namespace chervilbend::fakes
