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

bool prefix_cache::touch(const std::string &key, base::token_count size)
{
    const auto found = m_byKey.find(key);
    if (found != m_byKey.end()) {
        m_byUse.splice(m_byUse.begin(), m_byUse, found->second);
        return true;
    }
    if (size > m_capacity) {
        return false;
    }
    while (m_used + size > m_capacity) {
        const cached_prefix oldest = std::move(m_byUse.back());
        m_byUse.pop_back();
        m_byKey.erase(oldest.key);
        m_used -= oldest.size;
        if (m_onChange) {
            m_onChange(false, oldest.key);
        }
    }
    m_byUse.push_front({key, size});
    m_byKey[key] = m_byUse.begin();
    m_used += size;
    if (m_onChange) {
        m_onChange(true, key);
    }
    return false;
}

} // namespace chervilbend::fakes
