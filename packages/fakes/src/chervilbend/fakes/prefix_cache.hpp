#pragma once

#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace chervilbend::fakes
{

/// An LRU cache of prompt prefixes.
class prefix_cache
{
public:
    /// Called for each prefix that was stored (true) or evicted (false).
    using listener = std::function<void(bool, const std::string &)>;

    explicit prefix_cache(base::token_count capacity);

    void setListener(listener onChange);

    /// Returns whether the prefix was cached, and makes it the most recently used one. Otherwise inserts it with @p size tokens, unless
    /// that exceeds the capacity.
    bool lookUpOrInsert(const std::string &key, base::token_count size);

private:
    struct cached_prefix {
        std::string key;
        base::token_count size;
    };

    base::token_count m_capacity;
    base::token_count m_used;
    std::list<cached_prefix> m_recentFirst;
    std::map<std::string, std::list<cached_prefix>::iterator> m_index;
    listener m_onChange;
};

} // namespace chervilbend::fakes
